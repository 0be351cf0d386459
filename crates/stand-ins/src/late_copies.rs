//! Messages that arrive late or once more: reports of workers and direct commands to them.

use super::ground::SimulationContext;
use super::machines::exists;
use super::world::{AgentMemory, secs};
use badgerdrift::transport::http::{self, Client};
use rand::RngExt;
use serde_json::Value;
use std::net::IpAddr;
use std::time::Duration;
use tokio::time::sleep;

/// Delivers a copy of a command that was carried out and answered after this time.
pub(super) fn repeat_command(context: &SimulationContext, id: String, command: Value, after: Duration) {
    let context = context.clone();
    tokio::spawn(async move {
        sleep(after).await;
        context.world.lock().unwrap().repeat_command(&id, &command);
    });
}

/// Delivers copies of the answered commands of a machine, or of all machines, during the next second.
pub fn repeat_answered_commands(context: &SimulationContext, id: Option<&str>) {
    for (id, command) in context.world.lock().unwrap().answered_commands(id) {
        for ms in [20, 300, 900] {
            repeat_command(context, id.clone(), command.clone(), Duration::from_millis(ms));
        }
    }
}

/// Starts the agent of a machine again within a second. Copies of commands that it had answered follow.
pub fn restart_agent(context: &SimulationContext, id: &str, memory: AgentMemory) {
    context.world.lock().unwrap().restart_agent(id, memory);
    repeat_answered_commands(context, Some(id));
}

/// Returns whether a direct command is delayed. A delayed command is carried out later if its token and
/// session still match.
pub(super) fn delay_command(context: &SimulationContext, id: &str, req: &http::Request) -> bool {
    let mut world = context.world.lock().unwrap();
    let share = world.late_commands;
    if share <= 0.0 || req.path == "/inspect" || !world.rng.random_bool(share) {
        return false;
    }
    let after = secs(world.rng.random_range(2.0..16.0));
    let body: Value = serde_json::from_slice(&req.body).unwrap_or_default();
    let (context, id) = (context.clone(), id.to_string());
    tokio::spawn(async move {
        sleep(after).await;
        if exists(&context, &id) {
            context.log(format!("{id} receives a delayed command"));
            context.world.lock().unwrap().direct(&id, &body);
        }
    });
    true
}

/// Copies a share of the reports. A copy arrives late at one or all controllers: after seconds, after
/// more than a lease, or when the next leader begins.
pub(super) fn send_late_copies(context: &SimulationContext, id: &str, body: &str) {
    let (ip, after, to) = {
        let mut world = context.world.lock().unwrap();
        let ip = world.machines[id].addr.ip();
        if world.keeping {
            let kept = world.kept.entry(id.into()).or_default();
            kept.push((ip, body.into()));
            if kept.len() > 2 {
                kept.remove(0);
            }
        }
        let share = world.late_reports;
        if !world.rng.random_bool(share) {
            return;
        }
        if world.rng.random_bool(0.3) {
            world.kept.entry(id.into()).or_default().push((ip, body.into()));
            return;
        }
        let all = world.rng.random_bool(0.5);
        let one = world.rng.random_range(0..context.doors.len());
        let to: Vec<usize> = if all { (0..context.doors.len()).collect() } else { vec![one] };
        let latest = world.parameters.lease_s * 2.5;
        (ip, secs(world.rng.random_range(1.0..latest)), to)
    };
    send_copy(context, ip, body, after, &to);
}

fn send_copy(context: &SimulationContext, ip: IpAddr, body: &str, after: Duration, to: &[usize]) {
    for &node in to {
        let (context, body) = (context.clone(), body.to_string());
        tokio::spawn(async move {
            sleep(after).await;
            let client = Client::on(&context.process(ip).0, 0);
            let result = client
                .call(context.doors[node], "POST", "/agent/beat", Some(body.as_bytes()), Duration::from_secs(2))
                .await;
            let status = result.map_or(0, |result| result.0);
            context.log(format!("late copy of a report answered {status} by n{node}: {body}"));
        });
    }
}

/// Sends the kept reports to every controller, several times during the first second of a new leader.
pub fn send_kept_reports(context: &SimulationContext) {
    let kept: Vec<(IpAddr, String)> =
        std::mem::take(&mut context.world.lock().unwrap().kept).into_values().flatten().collect();
    let nodes: Vec<usize> = (0..context.doors.len()).collect();
    for (ip, body) in kept {
        for ms in [0, 20, 60, 150, 400, 1000] {
            send_copy(context, ip, &body, Duration::from_millis(ms), &nodes);
        }
    }
}
