# Random faults on loopback: 24 workers, 20 s of faults, then a quiet end of at most 75 s.
regions                = 1
zones_per_region       = 2
controllers_per_region = 3
workers                = 24
duration_s             = 105
warm_up_s              = 4

controller {
  max_sockets = 2677
}

teams {
  count            = 12
  guaranteed_cores = 40
  most_cores       = 200
  guaranteed_cards = 0
  most_cards       = 0
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
  gang_peer_s = 2
  cancel_s    = 12
  fetch_s     = [0.1, 0.3]
}

state {
  rps       = 350
  write_rps = 70
  value_kb  = 8
  txn_ops   = 12
}

class "array" {
  shape        = "batch"
  urgency      = "best_effort"
  tasks        = [10, 30]
  run_s        = [1, 3]
  cores        = 1.5
  mem_gb       = 3
  jobs_per_s   = 2
  initial_jobs = 8
}

class "gang" {
  shape        = "group"
  urgency      = "standard"
  tasks        = [4, 16]
  run_s        = [1, 3]
  cores        = 1.5
  mem_gb       = 3
  jobs_per_s   = 0.5
  initial_jobs = 2
}

class "replicas" {
  shape        = "service"
  urgency      = "urgent"
  tasks        = [1, 4]
  run_s        = [3, 6]
  cores        = 4
  cards        = 1
  mem_gb       = 16
  jobs_per_s   = 1
  initial_jobs = 4
}

soak {
  faults_s  = 20
  longest_s = 9
  faults    = [4, 8]
}
