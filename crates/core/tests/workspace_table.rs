//! Tests of the workspace table and its CSV form.

use baobabfall_core::workspace_table::{WorkspaceTable, hash_key};
use quickcheck::{Arbitrary, Gen};

const HEADER: &str = "workspace,key_hash,weight,concurrency,requests_per_minute,tokens_per_minute,queue_length,request_kib";

fn row(name: &str, weight: u32) -> String {
    format!("{name},{},{weight},8,600,100000,50,1024", hash_key(name))
}

fn table(rows: &[String]) -> WorkspaceTable {
    WorkspaceTable::parse_csv(format!("{HEADER}\n{}\n", rows.join("\n")).as_bytes())
        .expect("the rows are valid")
}

/// Guards against rejecting files as spreadsheets save them: with a byte order
/// mark, CRLF, quoted cells, another column order and blank last lines.
#[test]
fn parse_csv_accepts_spreadsheet_forms() {
    let hash = hash_key("k");
    let text = format!(
        "\u{feff}\"weight\",workspace,Key_Hash,concurrency,requests_per_minute,tokens_per_minute,queue_length,request_kib,protected\r\n\
         3,\"team-a\",{hash},8,600,100000,50,1024,yes\r\n,,,,,,,,\r\n"
    );
    let table = WorkspaceTable::parse_csv(text.as_bytes()).unwrap();
    let row = table.get("team-a").unwrap();
    assert_eq!((row.weight, row.protected), (3, true));
}

/// Guards against a parser that stops at the first error, so that an operator has
/// to correct a file one error at a time.
#[test]
fn parse_csv_reports_every_fault() {
    let text = format!(
        "{HEADER}\n{}\nTeam B,zz,0,8,600,100000,50,1024\n{}\nteam-c,{},\"1,5\",8,600,x,50,1024\nteam-d,1,2\n",
        row("team-a", 1),
        row("team-a", 2),
        hash_key("c"),
    );
    let faults = WorkspaceTable::parse_csv(text.as_bytes()).unwrap_err();
    let positions: Vec<(u64, &str)> =
        faults.iter().map(|fault| (fault.line, fault.column.as_str())).collect();
    assert_eq!(
        positions,
        [
            (3, "workspace"),
            (3, "key_hash"),
            (3, "weight"),
            (4, "workspace"),
            (5, "weight"),
            (5, "tokens_per_minute"),
            (6, ""),
        ]
    );
    assert!(faults[4].message.contains("without decimal"), "{}", faults[4]);
}

/// Guards against two workspaces with the same key, which then could not identify
/// the caller's workspace.
#[test]
fn parse_csv_shared_key_is_refused() {
    let text = format!("{HEADER}\n{}\n{}\n", row("a", 1), row("a", 1).replacen('a', "b", 1));
    let faults = WorkspaceTable::parse_csv(text.as_bytes()).unwrap_err();
    assert_eq!((faults[0].line, faults[0].column.as_str()), (3, "key_hash"));
}

/// Guards against a diff that does not turn one table into the other when applied.
#[test]
fn diff_apply_reaches_the_next_table() {
    let mut generator = Gen::from_size_and_seed(20, 11);
    for _ in 0..200 {
        let make = |weights: Vec<u8>| {
            let rows: Vec<String> = weights
                .iter()
                .enumerate()
                .filter(|(_, weight)| **weight > 40)
                .map(|(index, weight)| row(&format!("w{index}"), u32::from(*weight)))
                .collect();
            table(&rows)
        };
        let mut current = make(Vec::arbitrary(&mut generator));
        let next = make(Vec::arbitrary(&mut generator));
        let changes = current.diff(&next);
        current.apply(&changes);
        assert_eq!(current.digest(), next.digest());
        assert!(current.diff(&next).is_empty());
    }
}

/// Guards against an exported file that is parsed as a different table.
#[test]
fn to_csv_reads_back_equal() {
    let exported = table(&[row("a", 1), row("b", 7)]);
    assert_eq!(WorkspaceTable::parse_csv(exported.to_csv().as_bytes()).unwrap(), exported);
}

/// Guards against a parser that panics on malformed input.
#[test]
fn parse_csv_survives_random_bytes() {
    let mut generator = Gen::from_size_and_seed(400, 3);
    for _ in 0..300 {
        let _ = WorkspaceTable::parse_csv(&Vec::<u8>::arbitrary(&mut generator));
    }
}
