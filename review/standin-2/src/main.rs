//! Plays one case of the second review: `review-2 CASE FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
//! With `TROUBLE=0` it leaves the disruption out.

mod body_reads;
mod client;
mod fleet;
mod killed_together;
mod link;
mod lost;
mod many_items;
mod platform;
mod record;
mod slow_link;
mod store_front;
mod torn_list;

use std::{path::PathBuf, process::ExitCode};

/// How a case ended.
pub enum Outcome {
    Held,
    Broken,
}

#[tokio::main(flavor = "multi_thread", worker_threads = 3)]
async fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(dir)) = (args.next(), args.next()) else {
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let mut record = record::Record::new(&PathBuf::from(dir));
    // A panic of a stand-in means that the case could not run.
    let task = tokio::spawn(async move {
        let outcome = match case.as_str() {
            "killed-together" => killed_together::play(has_trouble, &mut record).await,
            "many-items" => many_items::play(has_trouble, &mut record).await,
            "slow-link" => slow_link::play(has_trouble, &mut record).await,
            "torn-list" => torn_list::play(has_trouble, &mut record).await,
            "body-reads" => body_reads::play(has_trouble, &mut record).await,
            other => panic!("no case {other}"),
        };
        record.line(match outcome {
            Outcome::Held => "the rule held",
            Outcome::Broken => "the rule was broken",
        });
        outcome
    });
    match task.await {
        Ok(Outcome::Held) => ExitCode::from(0),
        Ok(Outcome::Broken) => ExitCode::from(1),
        Err(_) => ExitCode::from(2),
    }
}
