//! Datagrams in which daemons report silent leafs to each other.

use proptest::prelude::*;
use tansylead_gateway::cluster::ReportCodec;
use tansylead_route::LeafReport;
use tansylead_types::LeafId;

fn silent(number: usize) -> LeafReport {
    LeafReport::Silent {
        leaf: LeafId::new(format!("i-{number:010}"))
            .expect("valid name")
            .into(),
        for_millis: 60,
    }
}

fn answering(number: usize) -> LeafReport {
    LeafReport::Answering {
        leaf: LeafId::new(format!("i-{number:010}"))
            .expect("valid name")
            .into(),
    }
}

#[test]
fn many_reports_fit_into_few_datagrams() {
    let codec = ReportCodec::new("cluster");
    let reports: Vec<LeafReport> = (0..200)
        .flat_map(|number| [silent(number), answering(number)])
        .collect();
    let datagrams = codec.encode(&reports);
    assert!(datagrams.len() > 1);
    assert!(datagrams.iter().all(|datagram| datagram.len() <= 1_200));
    let read = datagrams
        .iter()
        .filter_map(|datagram| codec.decode(datagram));
    assert_eq!(read.flatten().collect::<Vec<_>>(), reports);
}

#[test]
fn reports_of_another_cluster_are_ignored() {
    let datagrams = ReportCodec::new("other").encode(&[silent(1)]);
    assert_eq!(ReportCodec::new("cluster").decode(&datagrams[0]), None);
}

#[test]
fn a_truncated_datagram_gives_the_complete_reports_before_the_cut() {
    let codec = ReportCodec::new("cluster");
    let datagrams = codec.encode(&[silent(1), silent(2)]);
    let cut = &datagrams[0][..datagrams[0].len() - 1];
    assert_eq!(codec.decode(cut), Some(vec![silent(1)]));
}

proptest! {
    #[test]
    fn no_bytes_make_decoding_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let codec = ReportCodec::new("cluster");
        let _ = codec.decode(&bytes);
        let mut framed = codec.encode(&[silent(1)]).remove(0);
        framed.extend_from_slice(&bytes);
        prop_assert!(codec.decode(&framed).is_some_and(|reports| reports[0] == silent(1)));
    }
}
