# A burst of 100 requests to one model in a region of 480 workers, with or without a pool of eight warm
# replicas: see README, "Warm pools".
regions                = 1
zones_per_region       = 3
controllers_per_region = 3
workers                = 480
duration_s             = 40
warm_up_s              = 5

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
  startup_s = 2
}

worker {
  report_s    = 4
  lease_s     = 22
  gang_wait_s = 22
  gang_peer_s = 4
  cancel_s    = 42
  fetch_s     = [2, 4]
  load_s      = [3, 5]
}

state {
  rps       = 350
  write_rps = 70
  value_kb  = 8
  txn_ops   = 12
}

warm_pool {
  replicas     = 8
  cores        = 8
  cards        = 1
  mem_gb       = 32
  bill_every_s = 1
}

burst {
  at_s     = 25
  replicas = 8
  requests = 100
  over_s   = 0.5
  cores    = 8
  cards    = 1
  mem_gb   = 32
}

class "array" {
  shape        = "batch"
  urgency      = "best_effort"
  tasks        = [40, 120]
  run_s        = [20, 60]
  cores        = 1.5
  mem_gb       = 3
  jobs_per_s   = 1
  initial_jobs = 60
}
