//! A tenant is moved while the zone of its member and of the target dispatcher is cut off for 6 s.

#[path = "../stand-2/lib.rs"]
mod lib;
use lib::*;

fn main() {
    main_of(run)
}

fn run() -> i32 {
    let (folder, record) = (Folder::new(), Record::new());
    let endpoints = Endpoints::new(&record);
    let member = endpoints.start("member in building-b", |_| 130);
    let platform = Platform::start(&record, "platform", "");
    let free = addresses(4);
    let (resp, peer) = ([free[0], free[1]], [free[2], free[3]]);
    // The paths between the two buildings.
    let to_member = Route::start(member);
    let to_n2 = Route::start(peer[1]);
    let to_n1 = Route::start(peer[0]);
    let between = [&to_member, &to_n2, &to_n1];
    let map = |own: &str, peers: [std::net::SocketAddr; 2]| {
        format!(
            "map = \"m\"\nversion = 1\n[dispatchers.n1]\npeer = \"{}\"\nresp = \"{}\"\n[dispatchers.n2]\npeer = \"{}\"\nresp = \"{}\"\n\
             [cells.one]\ndispatchers = [\"n1\"]\ntenants = [\"sotrans\"]\n[[cells.one.members]]\nagreement = \"member-{own}.toml\"\n\
             [cells.two]\ndispatchers = [\"n2\"]\n[[cells.two.members]]\nagreement = \"member-{own}.toml\"\n",
            peers[0], resp[0], peers[1], resp[1]
        )
    };
    folder.write("map-n1.toml", &map("n1", [peer[0], to_n2.address]));
    folder.write("map-n2.toml", &map("n2", [to_n1.address, peer[1]]));
    let operators_map = folder.write("map.toml", &map("n1", peer));
    let mut running = Vec::new();
    for (n, at) in [("n1", to_member.address), ("n2", member)] {
        folder.write(
            &format!("member-{n}.toml"),
            &format!(
                "member = \"sotrans-dakar\"\ndestination = 7\nkind = \"low-volume\"\nconnections = 16\n\
                 buildings = [\"building-a\", \"building-b\"]\n[[endpoints]]\nid = \"sotrans-b1\"\naddress = \"{at}\"\n\
                 building = \"building-b\"\n[classes.claim-status]\nrepeats = \"harmless\"\n[classes.approval-order]\n\
                 repeats = \"dropped\"\ndropped-in = \"building\"\ndropped-for = \"20s\"\n"
            ),
        );
    }
    for (n, building) in [("n1", "building-a"), ("n2", "building-b")] {
        let listen = if n == "n1" { resp[0] } else { resp[1] };
        let toml = folder.write(
            &format!("{n}.toml"),
            &format!(
                "application = \"{n}\"\nstate = \"{}\"\nbuilding = \"{building}\"\nnotices = \"{}\"\n[listen]\nresp = \"{listen}\"\n\
                 [mesh]\nmap = \"map-{n}.toml\"\ndispatcher = \"{n}\"\n[tenants.sotrans]\n[classes.claim-status]\nwanted = \"1s\"\n\
                 deadline = \"8s\"\n[classes.approval-order]\nwanted = \"4s\"\ndeadline = \"20s\"\nordered = true\n\
                 [[uses]]\nagreement = \"member-{n}.toml\"\nconnections = 8\n[work]\nslots = 8\nheld = 200\n\
                 [process]\ndescriptors = 512\n",
                folder.path(&format!("state-{n}")),
                platform.address
            ),
        );
        let json = folder.path(&format!("{n}.json"));
        let (code, text) = tool(&["app", "render", &toml, "-o", &json]);
        if code != 0 {
            cannot_run(&text);
        }
        running.push(Process::start(&folder, n, &[("ROUTER_CONFIG", &json)]));
    }
    resp.iter().for_each(|at| wait_for_ping(*at, 10_000));
    let status = || tool(&["cell", "status", "--map", &operators_map, "sotrans"]).1;
    if !wait_until(10_000, || status().contains("n1 settled") || status().contains("settled")) {
        cannot_run(&format!("n1 does not serve the tenant: {}", status()));
    }
    sleep_ms(300);

    let cut = trouble();
    let cut_at = record.add(if cut { "building-b is cut off" } else { "no cut" });
    between.iter().for_each(|p| p.set_cut(cut));
    // What is accepted, and when its time is up.
    let mut accepted = Vec::new();
    for n in 0..6u64 {
        let (id, left) = (format!("order{n:011}"), 1_800 + 100 * n);
        let options = format!("c=approval-order,t=sotrans,d={left},k=k{n},dest=7");
        let sent = record.add(format!("client: SUBMIT {id} to n1, {left} ms left"));
        let answer = submit(resp[0], 100 + n, &id, &options, "approve");
        record.add(format!("n1: {id} is answered {answer:?}"));
        if answer.as_deref() == Some("+OK") {
            accepted.push((id, sent + left));
        }
    }
    if accepted.is_empty() {
        cannot_run("nothing is accepted");
    }
    sleep_ms(100);
    record.add("operator: lilacbank cell move sotrans --to n2");
    let (map_of_tool, of_tool) = (operators_map.clone(), record.clone());
    let operator = std::thread::spawn(move || {
        let out = tool(&["cell", "move", "--map", &map_of_tool, "sotrans", "--to", "n2", "--wait", "14"]);
        of_tool.add(format!("operator: the move ends with {out:?}"));
    });
    let whole_cut = 6_000;
    sleep_ms(whole_cut - (record.now() - cut_at).min(whole_cut));
    between.iter().for_each(|p| p.set_cut(false));
    record.add("building-b is reachable");
    sleep_ms(3_000);
    let _ = operator.join();
    record.add(status().trim());

    let mut broken = Vec::new();
    for (id, until) in &accepted {
        let delivered = endpoints.of(id).iter().filter_map(|c| c.ended).min();
        let notice = platform.of(id).iter().map(|n| n.0).min();
        let end = delivered.into_iter().chain(notice).min();
        // Half a second after its time, and 50 ms for each time limit on sockets.
        let late = end.is_none_or(|at| at > until + 550);
        let text = format!("{id}: its time was up at {until} ms, its end came at {end:?}");
        record.add(&text);
        if late {
            broken.push(text);
        }
    }
    drop(running);
    record.finish(&broken)
}
