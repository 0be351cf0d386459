# A small burst to check that it works: 30 workers, 10 seconds per run.
regions                = 1
zones_per_region       = 3
controllers_per_region = 3
workers                = 30
duration_s             = 10
warm_up_s              = 2

controller {
  max_sockets = 2677
}

teams {
  count            = 4
  guaranteed_cores = 1000
  most_cores       = 8000
  guaranteed_cards = 100
  most_cards       = 1000
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
  gang_wait_s = 6
  gang_peer_s = 4
  cancel_s    = 12
  fetch_s     = [0.2, 0.4]
  load_s      = [0.5, 1]
}

state {
  rps       = 350
  write_rps = 70
  value_kb  = 8
  txn_ops   = 12
}

warm_pool {
  replicas     = 4
  cores        = 8
  cards        = 1
  mem_gb       = 32
  bill_every_s = 0.5
}

burst {
  at_s     = 6
  replicas = 4
  requests = 100
  over_s   = 0.5
  cores    = 8
  cards    = 1
  mem_gb   = 32
}

class "array" {
  shape        = "batch"
  urgency      = "best_effort"
  tasks        = [4, 12]
  run_s        = [1, 3]
  cores        = 1.5
  mem_gb       = 3
  jobs_per_s   = 1
  initial_jobs = 4
}
