//! Child process of a region: receives its plan, reports its progress, and ends with the run.

use crate::claims::RegionClaim;
use crate::plan::{RegionMessage, RegionPlan};
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines};
use tokio::process::{Child, ChildStdin, ChildStdout, Command};
use tokio::time::timeout;

/// Time in which the process of a region must end once its input is closed; it is killed afterwards.
const STOP_LIMIT: Duration = Duration::from_secs(5);

/// Process of a region. It ends with its controllers when this value is dropped.
pub struct RegionProcess {
    process: Child,
    /// Standard input of the process, which ends once this is closed.
    input: Option<ChildStdin>,
    output: Lines<BufReader<ChildStdout>>,
}

impl RegionProcess {
    /// Starts the process of a region, which shares the claim to the region's networks, and sends its plan.
    pub async fn start(plan: &RegionPlan, claim: &RegionClaim) -> Result<RegionProcess, String> {
        let program = std::env::current_exe().map_err(|error| error.to_string())?;
        let mut command = Command::new(program);
        command.arg("region").stdin(Stdio::piped()).stdout(Stdio::piped()).kill_on_drop(true);
        let mut process = claim.share_with(|| command.spawn()).map_err(|error| format!("{}: {error}", plan.name()))?;
        let mut input = process.stdin.take().ok_or("no standard input")?;
        let output = BufReader::new(process.stdout.take().ok_or("no standard output")?).lines();
        let mut line = serde_json::to_string(plan).map_err(|error| error.to_string())?;
        line.push('\n');
        input.write_all(line.as_bytes()).await.map_err(|error| format!("{}: {error}", plan.name()))?;
        Ok(RegionProcess { process, input: Some(input), output })
    }

    /// Returns the next message of the process; `None` once it has ended.
    pub async fn next(&mut self) -> Option<RegionMessage> {
        let line = self.output.next_line().await.ok()??;
        Some(serde_json::from_str(&line).unwrap_or_else(|error| RegionMessage::Failed(format!("{error}: {line}"))))
    }

    /// Makes the process end its controllers and itself, and waits for it.
    pub async fn stop(mut self) {
        drop(self.input.take());
        if timeout(STOP_LIMIT, self.process.wait()).await.is_err() {
            let _ = self.process.kill().await;
        }
    }
}
