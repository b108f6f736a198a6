//! `basillead explain`: related ids, context events and errors.

use crate::workdir::{Workdir, show};

const LOG_A: &str = r#"
{"t":1000,"event":"start","instance":"i1"}
{"t":5000,"event":"item_start","job":"j1","item":"a1","server":"s1","spare":"false"}
{"t":5050,"event":"item_start","job":"j1","item":"a2","server":"s2","spare":"false"}
not a line of ours
{"t":5900,"event":"score_failed","item":"a1","scorer":"c1","status":"500","failures":"3"}
{"t":5901,"event":"item_listed","job":"j1","item":"a1","end":"Dead","versions":"[]"}
"#;

const LOG_B: &str = r#"
{"t":5400,"event":"server_failed","id":"c1","server":"s9","status":"500"}
{"t":5500,"event":"server","server":"s1","before":"Ready","after":"None"}
{"t":5600,"event":"server","server":"s2","before":"Ready","after":"None"}
"#;

#[test]
fn explain_item() {
    let dir = Workdir::new("explain");
    dir.write("a.log", LOG_A);
    dir.write("b.log", LOG_B);
    let output = dir.local(&["explain", "a1", "a.log", "b.log"]);
    assert_eq!(output.status.code(), Some(0));
    insta::assert_snapshot!(show(&output), @r"
    +0 ms  item_start item=a1 job=j1 server=s1 spare=false
    +400 ms  server_failed id=c1 server=s9 status=500
    +500 ms  server after=None before=Ready server=s1
    +900 ms  score_failed failures=3 item=a1 scorer=c1 status=500
    +901 ms  item_listed end=Dead item=a1 job=j1 versions=[]
    ");
}

#[test]
fn explain_unknown() {
    let dir = Workdir::new("explain-unknown");
    dir.write("a.log", LOG_A);
    let output = dir.local(&["explain", "zz", "a.log"]);
    assert_eq!(output.status.code(), Some(3));
    assert!(
        show(&output).contains("no line names zz"),
        "{}",
        show(&output)
    );
    let output = dir.local(&["explain", "a1", "missing.log"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(show(&output).contains("missing.log"), "{}", show(&output));
}
