//! Every kind of fault alone, with a fixed seed. `tansylead-lab simulate --faults KIND` runs more.

use tansylead_lab::simulation::campaign::{Summary, run_case};
use tansylead_lab::simulation::fault::FaultKind;
use tansylead_lab::simulation::plan::CasePlan;

const SEEDS: [u64; 1] = [1];

/// Runs cases with one fault of this kind; the oracle must find nothing.
fn holds_under(kind: FaultKind) {
    for seed in SEEDS {
        let mut summary = Summary::default();
        let violations = run_case(&CasePlan::draw(seed, &[kind]), None, &mut summary);
        let texts: Vec<String> = violations.iter().map(ToString::to_string).collect();
        assert!(texts.is_empty(), "seed {seed}: {texts:#?}");
        assert!(summary.faults.contains_key(&kind), "the fault never began");
    }
}

macro_rules! one_test_per_fault {
    ($($name:ident => $kind:ident,)*) => {
        $(
            #[test]
            fn $name() {
                holds_under(FaultKind::$kind);
            }
        )*

        #[test]
        fn every_kind_has_a_test() {
            let tested = [$(FaultKind::$kind),*];
            assert_eq!(tested, FaultKind::ALL);
        }
    };
}

one_test_per_fault! {
    daemon_kill => DaemonKill,
    daemon_freeze => DaemonFreeze,
    daemon_stop => DaemonStop,
    rolling_restart => RollingRestart,
    leaf_kill => LeafKill,
    leaf_freeze => LeafFreeze,
    leaf_drain => LeafDrain,
    leaf_drain_health_lies => LeafDrainHealthLies,
    leaf_drain_silent => LeafDrainSilent,
    leaf_shed => LeafShed,
    leaf_straggle => LeafStraggle,
    leaf_hang_health_lies => LeafHangHealthLies,
    leaf_loses_version => LeafLosesVersion,
    repartition => Repartition,
    store_outage => StoreOutage,
    store_slow => StoreSlow,
    store_loses_answers => StoreLosesAnswers,
    store_restored => StoreRestored,
    machine_list_stale => MachineListStale,
    cut_pair => CutPair,
    cut_zone => CutZone,
    cut_region => CutRegion,
    packet_loss => PacketLoss,
    packet_duplication => PacketDuplication,
    packet_reordering => PacketReordering,
    connection_breaks => ConnectionBreaks,
    crossed_answers => CrossedAnswers,
    operator_race => OperatorRace,
}
