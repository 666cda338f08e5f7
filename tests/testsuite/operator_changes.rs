//! Files applied as a whole, once, by one of racing operators.

use workswood_operators::{ApplyReply, ApplyRequest};
use workswood_test_support::files::small;
use workswood_test_support::live::fleet;

fn request(file: &workswood_core::fleet::FleetFile, id: &str, base: u64) -> ApplyRequest {
    ApplyRequest {
        id: id.to_string(),
        base,
        author: id.to_string(),
        text: serde_json::to_string(file).expect("a file is JSON"),
        wait_ms: 5_000,
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn one_winner() {
    let file = small(6, 4, 2);
    let dev = fleet(&file, 3).await;
    for base in 1..=5 {
        let tries = (0..6).map(|n| {
            let mut mine = file.clone();
            mine.objective.moves = 100 * base as u32 + n as u32;
            let req = request(&mine, &format!("op-{base}-{n}"), base);
            let operator = dev.operator_client(n % 3);
            async move { operator.apply(&req).await.expect("an answer") }
        });
        let replies = futures::future::join_all(tries).await;
        let won = replies.iter().filter(|r| matches!(r, ApplyReply::Accepted { .. })).count();
        assert_eq!(won, 1, "{replies:#?}");
        for r in &replies {
            if let ApplyReply::Refused { code, message, .. } = r {
                assert_eq!(code.number(), 220);
                assert!(
                    message.contains("objective.moves") && message.contains(&format!("op-{base}-")),
                    "{message}"
                );
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn applied_once() {
    let file = small(6, 4, 2);
    let dev = fleet(&file, 2).await;
    let mut changed = file.clone();
    changed.objective.moves = 9;
    let req = request(&changed, "same", 1);
    for entry in [0, 1, 0] {
        let reply = dev.operator_client(entry).apply(&req).await.expect("an answer");
        assert!(
            matches!(&reply, ApplyReply::Accepted { version: 2, behind, .. } if behind.is_empty()),
            "{reply:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bad_file() {
    let dev = fleet(&small(6, 4, 2), 1).await;
    let mut req = request(&small(6, 4, 2), "bad", 1);
    req.text = req.text.replace("\"min_available\":2", "\"min_available\":4,\"max_unavailible\":1");
    let reply = dev.operator_client(0).apply(&req).await.expect("an answer");
    let ApplyReply::Refused { issues, .. } = reply else { panic!("{reply:?}") };
    assert_eq!(issues[0].path, "services[0].budget.max_unavailible");
}
