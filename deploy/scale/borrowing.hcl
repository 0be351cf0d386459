# Serving borrows from night runs and fine-tuning on 480 full workers; 55 seconds per run.
regions                = 1
zones_per_region       = 3
controllers_per_region = 3
workers                = 480
duration_s             = 60
warm_up_s              = 5

controller {
  max_sockets = 2677
}

# Guarantee of each team; the five teams together are guaranteed 1,500 of 1,920 accelerators.
teams {
  count            = 5
  guaranteed_cores = 0
  most_cores       = 15360
  guaranteed_cards = 300
  most_cards       = 1920
}

machine {
  cores     = 32
  cards     = 4
  mem_gb    = 128
  startup_s = 6
}

worker {
  report_s    = 1
  lease_s     = 10
  gang_wait_s = 10
  gang_peer_s = 4
  cancel_s    = 30
  fetch_s     = [0.5, 2]
}

state {
  rps       = 350
  write_rps = 70
  value_kb  = 8
  txn_ops   = 12
}

# The first team needs 480 replicas for 14 s, of which 300 are within its guarantee.
borrowing {
  quiet_s        = 3600
  return_after_s = 4
  at_s           = 22
  for_s          = 14
  replicas       = 480
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
  initial_jobs       = 120
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
  initial_jobs       = 90
  first_team         = 1
  checkpoint_every_s = 10
  flush_s            = 1.5
}
