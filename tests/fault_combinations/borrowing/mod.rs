//! Loans between teams in whole deployments. What teams use is read from the machines, not from the state of a
//! controller.

mod deployment;
mod faults;
mod leaders;
mod returns;
mod shares;
mod teams;
