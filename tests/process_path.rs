//! Requests and samples through real processes, one of which is killed.

mod cluster;

use std::{sync::Arc, time::Instant};

use chicoryreach::wire::callers::CompletionRequest;
use cluster::{Cluster, WAIT_TIMEOUT};
use standins::{
    caller::{CallOutcome, Caller, parse_completion},
    drive::prompts,
    engine::EngineSettings,
    oracle::Verdict,
    trainer::{Trainer, TrainerSettings},
    world::WorldSize,
};

const SIZE: WorldSize = WorldSize {
    daemons: 3,
    engines: 3,
    services: 1,
    data_centres: 2,
};

#[tokio::test(flavor = "multi_thread")]
async fn answer_is_complete_and_matches_its_request() {
    let cluster = Cluster::start(SIZE, EngineSettings::default()).await;
    let mut caller = Caller::new(cluster.caller_addresses(), 1);
    let prompt = prompts()[0].clone();
    let request = CompletionRequest {
        model: "demand-lm".into(),
        prompt,
        max_tokens: 32,
        seed: 7,
        stream: false,
    };
    let CallOutcome::Answer(body) = caller.complete("request-1", &request, 20_000).await else {
        panic!("the request was not answered");
    };
    let completion = parse_completion(&body).expect("the answer can be read");
    let mut verdict = Verdict::default();
    let text = &completion.choices[0].text;
    verdict.check_text(
        &request.prompt,
        request.seed,
        request.max_tokens,
        text,
        &completion.weights,
    );
    assert_eq!(verdict.broken_promises, Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn samples_arrive_once_when_the_holder_is_killed() {
    let mut cluster = Cluster::start(SIZE, EngineSettings::default()).await;
    let settings = TrainerSettings {
        trainer: "pricing".into(),
        service: "demand-lm".into(),
        prompts: prompts().into_iter().take(6).collect::<Vec<Arc<str>>>(),
        samples_per_group: 4,
        max_tokens: 64,
        staleness_bound: 1,
        steps: 2,
        train_ms: 0,
        deadline: Instant::now() + WAIT_TIMEOUT,
    };
    let mut trainer = Trainer::new(
        settings,
        cluster.caller_addresses(),
        cluster.control_addresses(),
    );
    let mut verdict = Verdict::default();
    trainer.run_steps(1..=1, &mut verdict).await;
    let holder = trainer.holder_address();
    let number = cluster
        .records
        .iter()
        .position(|record| record.caller_address == holder);
    cluster.kill(number.expect("the holder is known"));
    trainer.run_steps(2..=2, &mut verdict).await;
    assert_eq!(verdict.broken_promises, Vec::<String>::new());
    assert_eq!(
        (verdict.delivered, verdict.doubled, verdict.lost),
        (48, 0, 0)
    );
}
