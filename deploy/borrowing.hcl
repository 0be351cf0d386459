# Lending of accelerators between teams: `badgerdrift serve --borrowing deploy/borrowing.hcl`.
# See docs/borrowing.md. Off unless a controller is given this file; needs one partition.

# Time for which a preempted job is not preempted again while other jobs can be.
quiet_s = 3600

# Time without need after which a borrower returns what it borrowed.
return_after_s = 30

# Replicas for call-outs borrow from the teams that name `roster-desk` below.
borrower "roster-desk" {
  from = "urgent"
}

borrower "relief-ops" {
  from = "urgent"
}

# Night runs and fine-tuning are preempted, but the team keeps its guarantee.
lender "infra-crew" {
  to    = ["roster-desk", "relief-ops"]
  up_to = "standard"
}

lender "district-liaison" {
  to         = ["roster-desk"]
  up_to      = "best_effort"
  most_share = 0.5
}
