use super::*;

#[test]
fn what_ended_before_it_was_taken_concerns_itself_alone() {
    use io::ErrorKind::{ConnectionAborted, Other, OutOfMemory};
    let alone = [ConnectionAborted, Other, OutOfMemory].map(|kind| itself_alone(&kind.into()));
    assert_eq!(alone, [true, false, false]);
    // A full table of descriptors.
    assert!(!itself_alone(&io::Error::from_raw_os_error(24)));
}
