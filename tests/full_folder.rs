//! A folder that takes no writes for a while: what it holds is delivered all the same once it does.

mod stand;
use stand::*;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

const OK: Reply = Reply::Answer("200 OK");
const MESSAGES: usize = 60;
const CLASSES: [&str; 3] = ["safe", "order", "pay"];

/// 60 messages are taken on while their endpoint is silent, the process is killed, and the next one starts under the
/// schedule of faults with the endpoint well. All are delivered, but what may have run and must not run twice.
fn all_are_delivered_by_a_start_under(schedule: &str) {
    let answers = Arc::new(AtomicBool::new(false));
    let a = answers.clone();
    let worker = Worker::start(move |_, _| if a.load(Ordering::SeqCst) { OK } else { Reply::Silence });
    let site = Site::new(&[entry("w1", &worker.address.to_string(), "a", 1, "in_service")]);
    let d = site.start();
    let mut client = d.client();
    let ids: Vec<(String, &str)> =
        (0..MESSAGES).map(|n| (format!("m{n:02}"), CLASSES[n % CLASSES.len()])).collect();
    for (n, (id, class)) in ids.iter().enumerate() {
        let options = format!("c={class},d=12000,k=k{n},dest=1");
        assert_eq!(client.keyed(&format!("{:x}", n + 1), id, &options), "+OK");
    }
    d.kill();
    let tried: Vec<usize> = ids.iter().map(|(id, _)| worker.of(id)).collect();
    answers.store(true, Ordering::SeqCst);
    let _d = site.start_under(schedule, &[]);
    for ((id, class), tried) in ids.iter().zip(tried) {
        if *class == "pay" && tried > 0 {
            until(&format!("{id} may have run and ends"), || !site.platform.noticed(id).is_empty());
            assert_eq!(worker.of(id), tried, "{id} is not sent again");
        } else {
            until(&format!("{id} of {class} is delivered"), || {
                worker.of(id) > tried || !site.platform.noticed(id).is_empty()
            });
            assert_eq!(site.platform.noticed(id), Vec::<String>::new(), "{id} of {class}");
        }
    }
    std::thread::sleep(Duration::from_millis(100));
    let twice: Vec<&String> =
        ids.iter().filter(|(id, class)| *class == "pay" && worker.of(id) > 1).map(|i| &i.0).collect();
    assert!(twice.is_empty(), "{twice:?}");
}

/// Guards against calls that cannot be written down, count as attempts that failed, and are handed back with time left.
#[test]
fn what_a_start_finds_is_delivered_once_a_full_folder_has_room() {
    all_are_delivered_by_a_start_under("enospc 0 2000");
}

/// The same with half of each record written before the error.
#[test]
fn what_a_start_finds_is_delivered_once_a_folder_that_tears_writes_has_room() {
    all_are_delivered_by_a_start_under("enospc 0 2000 1");
}

/// The same with an I/O error on opens, reads, writes, truncations and renames, from the first one on.
#[test]
fn what_a_start_finds_is_delivered_once_a_folder_that_fails_works_again() {
    all_are_delivered_by_a_start_under("eio 0 1500");
}
