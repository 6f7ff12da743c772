//! Two dispatchers that share a map of cells, as the examples under `deploy/examples/mesh` have it. Their
//! configurations are written by the project's own tool.
#![allow(dead_code)]

use super::site::write;
use super::stand::{control, folder, free_address, give_up, note, ms, Dispatcher, Listed};
use std::net::SocketAddr;
use std::process::Command;

/// The dispatchers n1 and n2, each a cell of its own. The map places the tenants `sotrans` and `textile` at n1.
pub struct Mesh {
    pub resp: [SocketAddr; 2],
    pub mqtt: [SocketAddr; 2],
    peer: [SocketAddr; 2],
}

impl Mesh {
    /// Writes the files. `limit`: the member's, as the agreement has it; each cell has half of it.
    pub fn new(list: &[Listed], limit: &str, notices: SocketAddr) -> Mesh {
        let two = || [free_address(), free_address()];
        let mesh = Mesh { resp: two(), mqtt: two(), peer: two() };
        let mut agreement = format!(
            "member = \"sotrans-dakar\"\ndestination = 7\nkind = \"high-volume\"\nlimit = \"{limit}\"\n\
             connections = 16\ndrain = \"2s\"\nwait-most = \"2s\"\nbuildings = [\"building-a\", \"building-b\"]\n"
        );
        for l in list {
            agreement.push_str(&format!(
                "[[endpoints]]\nid = \"{}\"\naddress = \"{}\"\nbuilding = \"{}\"\n",
                l.uid, l.address, l.zone
            ));
        }
        agreement.push_str(
            "[classes.claim-status]\nrepeats = \"harmless\"\n[classes.approval-order]\nrepeats = \"dropped\"\n\
             dropped-in = \"building\"\ndropped-for = \"20s\"\n[classes.reimbursement]\nrepeats = \"forbidden\"\n",
        );
        write("sotrans-dakar.toml", &agreement);
        let mut map = String::from("map = \"demo\"\nversion = 1\n");
        for n in 0..2 {
            map.push_str(&format!(
                "[dispatchers.n{}]\npeer = \"{}\"\nresp = \"{}\"\nmqtt = \"{}\"\n",
                n + 1,
                mesh.peer[n],
                mesh.resp[n],
                mesh.mqtt[n]
            ));
        }
        for (n, cell, tenants) in [(1, "one", "\"sotrans\", \"textile\""), (2, "two", "")] {
            map.push_str(&format!(
                "[cells.{cell}]\ndispatchers = [\"n{n}\"]\ntenants = [{tenants}]\n[[cells.{cell}.members]]\n\
                 agreement = \"sotrans-dakar.toml\"\nshare = \"50%\"\n"
            ));
        }
        write("map.toml", &map);
        for n in 0..2 {
            let name = format!("n{}", n + 1);
            let state = folder().join(format!("state.{name}"));
            std::fs::create_dir_all(&state).expect("no state folder");
            let text = format!(
                "application = \"{name}\"\nstate = \"{}\"\nbuilding = \"building-a\"\nnotices = \"{notices}\"\n\
                 [listen]\nresp = \"{}\"\nmqtt = \"{}\"\n[mesh]\nmap = \"map.toml\"\ndispatcher = \"{name}\"\n\
                 [tenants.sotrans]\n[tenants.textile]\n[classes.claim-status]\nwanted = \"1s\"\n\
                 deadline = \"8s\"\n[classes.approval-order]\nwanted = \"4s\"\ndeadline = \"20s\"\n\
                 ordered = true\n[classes.reimbursement]\nwanted = \"3s\"\ndeadline = \"20s\"\n\
                 [[uses]]\nagreement = \"sotrans-dakar.toml\"\nshare = \"50%\"\nconnections = 6\n\
                 [work]\nslots = 12\nheld = 200\n[process]\ndescriptors = 512\n",
                state.display(),
                mesh.resp[n],
                mesh.mqtt[n]
            );
            let app = write(&format!("{name}.toml"), &text);
            let json = folder().join(format!("{name}.json"));
            let out =
                Command::new("target/release/lilacbank").args(["app", "render"]).arg(&app).arg("-o").arg(&json).output();
            match out {
                Ok(o) if o.status.success() => {}
                Ok(o) => give_up(format!("no configuration: {}", String::from_utf8_lossy(&o.stderr))),
                Err(e) => give_up(format!("no configuration: {e}")),
            }
        }
        mesh
    }

    /// Starts a process of dispatcher `n` (0 or 1) with a control interface.
    pub fn start(&self, n: usize, door: SocketAddr) -> Dispatcher {
        let name = format!("n{}", n + 1);
        let json = folder().join(format!("{name}.json"));
        let environment =
            [("ROUTER_CONFIG", json.display().to_string()), ("ROUTER_CONTROL", door.to_string())];
        Dispatcher::start(&name, &environment)
    }

    /// Runs the operators' tool; its exit status.
    pub fn cell(&self, arguments: &[&str]) -> Option<i32> {
        let map = folder().join("map.toml");
        let begun = ms();
        let mut command = Command::new("target/release/lilacbank");
        command.arg("cell").arg(arguments[0]).arg("--map").arg(map).args(&arguments[1..]);
        let out = command.output().ok()?;
        let text = [out.stdout, out.stderr].concat();
        note(format!("operator: cell {arguments:?}: status {:?}, {} ms", out.status.code(), ms() - begun));
        String::from_utf8_lossy(&text).lines().for_each(|l| note(format!("    {l}")));
        out.status.code()
    }
}

/// Whether the process behind a control interface takes clients.
pub fn says_yes(at: SocketAddr) -> bool {
    control(at, "check").is_some_and(|a| a.starts_with("200"))
}
