//! Store, targets and daemons run as separate processes, queried by callers in the test.

use {
    crate::cluster::Cluster,
    standin::{
        History, check,
        client::{Ask, Caller},
    },
    std::time::Duration,
};

const DEADLINE: Duration = Duration::from_secs(5);

#[tokio::test(flavor = "multi_thread")]
async fn every_daemon_process_responds_with_full_coverage() {
    // Arrange
    let mut cluster = Cluster::start(3).await;
    let history = History::new();

    // Act
    let mut responses = Vec::new();
    for (settings, _) in &cluster.daemons {
        let caller = Caller::new(settings.caller_address, history.clone());
        for number in 0..5 {
            let request = format!("{}-{number}", settings.id);
            let ask = Ask::query("ventanilla", &request, DEADLINE);
            responses.push(caller.ask(&ask).await);
        }
    }

    // Assert
    for response in &responses {
        assert_eq!(
            (response.answered, response.total),
            (20, 20),
            "{response:?}"
        );
    }
    assert_eq!(check::all(&cluster.events(&history)), []);
    assert!(cluster.is_alive());
}
