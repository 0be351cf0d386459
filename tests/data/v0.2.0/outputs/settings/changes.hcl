author = "operator on duty"
reason = "season"
team "red" {
  version = 3
  removed = true
  guarantee {
    cpus = 10.5
    gpus = 2.5
  }
  limit {
    cpus = 40.5
    gpus = 8.5
  }
  share "north" {
    guarantee {
      cpus = 10.5
      gpus = 2.5
    }
    limit {
      cpus = 40.5
      gpus = 8.5
    }
  }
}
team "blue" {
  version = 0
}
operator {
  version = 4
  bin_width_s = 6.5
  default_deadline_s = 601.5
  idle_keep = 2.5
  headroom = 0.75
}
