# A small burst of serving to check that it works: 30 workers, 11 seconds per run.
regions                = 1
zones_per_region       = 3
controllers_per_region = 3
workers                = 30
duration_s             = 11
warm_up_s              = 1

controller {
  max_sockets = 2677
}

# Guarantee of each team; the three teams together are guaranteed 90 of 120 accelerators.
teams {
  count            = 3
  guaranteed_cores = 0
  most_cores       = 15360
  guaranteed_cards = 30
  most_cards       = 1920
}

machine {
  cores     = 32
  cards     = 4
  mem_gb    = 128
  startup_s = 0.5
}

worker {
  report_s    = 0.5
  lease_s     = 6
  gang_wait_s = 10
  gang_peer_s = 4
  cancel_s    = 30
  fetch_s     = [0.2, 0.4]
}

state {
  rps       = 350
  write_rps = 70
  value_kb  = 8
  txn_ops   = 12
}

# The first team needs 100 replicas for 4 s. The floors of the other two leave it 60 of 120 accelerators.
borrowing {
  quiet_s        = 3600
  return_after_s = 1
  at_s           = 3.5
  for_s          = 4
  replicas       = 100
  cores          = 8
  cards          = 1
  mem_gb         = 32
}

class "night-run" {
  shape              = "batch"
  urgency            = "best_effort"
  tasks              = [8, 16]
  run_s              = [300, 600]
  cores              = 4
  cards              = 1
  mem_gb             = 16
  jobs_per_s         = 0
  initial_jobs       = 9
  first_team         = 1
  checkpoint_every_s = 10
  flush_s            = 1
}

class "fine-tuning" {
  shape              = "group"
  urgency            = "standard"
  tasks              = [2, 6]
  run_s              = [300, 600]
  cores              = 8
  cards              = 2
  mem_gb             = 32
  jobs_per_s         = 0
  initial_jobs       = 5
  first_team         = 1
  checkpoint_every_s = 10
  flush_s            = 1.5
}
