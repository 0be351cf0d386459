//! Direct commands that arrive once more after they were carried out and answered.

use crate::random_days::run_all;
use crate::scenario::{run_with_seeds, seconds, submit_long_jobs, submit_short_jobs};
use crate::simulation::{seeds, simulate};
use badgerdrift_stand_ins::world::AgentMemory;
use badgerdrift_stand_ins::{NODES, RandomDay, late_copies};

#[test]
fn copied_starts_run_no_task_again_on_random_days() {
    run_all(&seeds(1..=8), |seed| {
        simulate(seed, async |mut sim| {
            let faults = (seed % 4) as usize;
            let day = RandomDay { day_s: 90.0, faults, repeated_commands: 0.5, ..RandomDay::default() };
            sim.random_day_of(day).await;
            sim.settle().await;
        });
    });
}

#[test]
fn copied_starts_run_no_cancelled_task_again() {
    run_with_seeds(async |sim| {
        sim.repeated_commands(f64::MIN_POSITIVE);
        let ids = submit_long_jobs(sim, 60.0).await;
        ids.iter().for_each(|id| sim.cancel(id, &[0, 1, 2]));
        sim.run(seconds(5)).await;
        late_copies::repeat_answered_commands(&sim.context, None);
        sim.run(seconds(5)).await;
    });
}

// Leaders and followers are back within a second, and copies of what the machines have answered follow.
#[test]
fn copied_starts_run_no_task_again_after_controllers_came_back_within_a_second() {
    run_with_seeds(async |sim| {
        sim.repeated_commands(0.5);
        sim.context.world.lock().unwrap().faulty = 0.3;
        for round in 0..6 {
            submit_short_jobs(sim);
            submit_long_jobs(sim, 8.0).await;
            let node = (sim.leader().unwrap_or(0) + round) % NODES;
            sim.kill(node);
            sim.run(seconds(1) / 2).await;
            sim.start(node);
            sim.run(seconds(2)).await;
        }
    });
}

#[test]
fn tasks_continue_elsewhere_after_agents_came_back_without_their_memory() {
    run_with_seeds(async |sim| {
        submit_long_jobs(sim, 60.0).await;
        let ids: Vec<String> = sim.context.world.lock().unwrap().machines.keys().cloned().collect();
        ids.iter().step_by(2).for_each(|id| late_copies::restart_agent(&sim.context, id, AgentMemory::Lost));
        sim.run(seconds(30)).await;
    });
}
