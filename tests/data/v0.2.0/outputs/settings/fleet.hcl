region = "north"
regions {
  north {
    controllers = ["127.0.0.1:18081"]
  }
  south {
    controllers = ["127.0.1.1:18081", "127.0.1.2:18081"]
  }
}
