//! Texts of differences, and the proposal document.

use tansylead_table::{Base, Draft, Proposal, TableDifference, parse_rows};
use tansylead_types::{ChangeId, TableRow, WallTime};

fn rows(text: &str) -> Vec<TableRow> {
    let text = format!("service,place,hours,weight,limit\n{text}");
    parse_rows(&text)
        .rows
        .into_iter()
        .map(|numbered| numbered.row)
        .collect()
}

const BEFORE: &str = "screening-1,bangkok,6-18,10,200\n\
    screening-1,phuket,0-24,10,100\n\
    appeals,bangkok,0-24,1,50\n";
const AFTER: &str = "screening-1,bangkok,6-18,20,250\n\
    screening-1,phuket,0-20,10,100\n\
    appeals,bangkok,0-24,2,50\n";

#[test]
fn a_difference_names_rows_and_totals_by_hour() {
    let difference = TableDifference::between(&rows(BEFORE), &rows(AFTER));
    insta::assert_snapshot!(difference);
    assert!(TableDifference::between(&rows(BEFORE), &rows(BEFORE)).is_empty());
}

fn proposal() -> Proposal {
    let draft = Draft {
        author: "somchai".to_owned(),
        comment: "holiday \"rush\" in Bangkok".to_owned(),
        proposed_at: WallTime(1_796_197_200_000),
        base: Base {
            generation: 7,
            change: Some(ChangeId::new("change-0").expect("name")),
            rows: rows(BEFORE),
        },
        rows: rows(AFTER),
    };
    Proposal::new(0x5eed, draft).expect("makes a change id")
}

#[test]
fn a_proposal_document_reads_back_as_it_was() {
    let document = proposal().to_document().expect("writes");
    insta::assert_snapshot!(document);
    let read = Proposal::from_document(&document).expect("reads");
    let again = read.to_document().expect("writes");
    assert_eq!(again, document);
    assert_eq!((read.change, read.base.generation), (proposal().change, 7));
    let base = proposal().base.to_document().expect("writes");
    let read = Base::from_document(&base).expect("reads");
    assert_eq!((read.generation, read.rows.len()), (7, 3));
}

#[test]
fn a_document_that_was_edited_wrongly_is_refused_with_the_cause() {
    let document = proposal().to_document().expect("writes");
    let unknown_key = document.replace("author", "autor");
    let wrong_cell = document.replace("6-18,20,250", "6-18,twenty,250");
    let other_cell = document.replace("6-18,20,250", "6-18,20,260");
    for document in [unknown_key, wrong_cell, other_cell] {
        let error = Proposal::from_document(&document).expect_err("refused");
        insta::assert_snapshot!(error);
    }
}
