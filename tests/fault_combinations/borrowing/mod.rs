//! Loans between teams in whole controllers. What teams use is read from what the machines run, not
//! from what a controller believes.

mod deployment;
mod faults;
mod leaders;
mod returns;
mod shares;
mod teams;
