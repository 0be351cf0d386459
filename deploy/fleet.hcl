# Enables the shared configuration of several regions:
#     badgerdrift serve --fleet deploy/fleet.hcl --operator deploy/operator.hcl --config FILE
# `region` names the controller's own region; the rest is the same in all regions. See docs/operations.md.
region = "north"

regions {
  north {
    controllers = ["10.1.0.1:8081", "10.1.0.2:8081", "10.1.0.3:8081"]
  }
  south {
    controllers = ["10.2.0.1:8081", "10.2.0.2:8081", "10.2.0.3:8081"]
  }
  west {
    controllers = ["10.3.0.1:8081", "10.3.0.2:8081", "10.3.0.3:8081"]
  }
}
