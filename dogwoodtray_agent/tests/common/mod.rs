//! Request builders shared by the tests.

use std::time::Duration;

use bytes::Bytes;
use dogwoodtray_agent::Work;
use dogwoodtray_coord::AttemptId;
use dogwoodtray_coord::ContentHash;
use dogwoodtray_coord::Incarnation;
use dogwoodtray_coord::Name;
use dogwoodtray_policy::Class;
use dogwoodtray_policy::Cost;

/// Creates an idempotent online request.
pub(crate) fn online_work(counter: u64) -> Work {
    Work {
        attempt: AttemptId { incarnation: Incarnation(1), counter },
        request: Name::from("r"),
        class: Class::Online,
        model: Name::from("kegtalk"),
        method: Name::from("POST"),
        path: Name::from("/v1/chat/completions"),
        body: Bytes::new(),
        idempotent: true,
        idempotency_key: Name::from(""),
        fence: None,
        deadline: Some(Duration::from_secs(60)),
        cost: Cost { prompt_tokens: 1, output_tokens: 1 },
        resume_from: 0,
        content: ContentHash(counter),
        prefix: 0,
        is_trial: false,
    }
}
