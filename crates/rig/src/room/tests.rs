//! Tests of the module `room`.

use super::*;

#[test]
fn a_folder_over_its_limit_for_a_moment_is_reported() {
    let folder = std::env::temp_dir().join(format!("lilacbank-room-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let (stop, folders) = (AtomicBool::new(false), [folder.clone()]);
    let over = thread::scope(|scope| {
        let measuring = scope.spawn(|| over_limit(&folders, 1_000, &stop));
        std::fs::write(folder.join("journal"), [0; 600]).unwrap();
        thread::sleep(Duration::from_millis(100));
        std::fs::remove_file(folder.join("journal")).unwrap();
        stop.store(true, Ordering::Relaxed);
        measuring.join().unwrap()
    });
    std::fs::remove_dir_all(folder).unwrap();
    assert_eq!(over, ["n0: 1024 bytes of 1000"]);
}
