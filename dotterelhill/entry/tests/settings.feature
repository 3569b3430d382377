Feature: Settings of an entry process

  Scenario: Only the first of several wrong settings is reported
    Given the environment of a complete entry process
    And the variable CALLER_PORT is "99999"
    And the variable LISTEN_HOST is "0.0.0.0"
    And the variable REGION is absent
    When the settings are read with flag balancer_delay_seconds "-1"
    Then exactly these settings are reported: region, listen_host, caller_port, balancer_delay_seconds
    And each report names the flag, the variable and the accepted range

  Scenario: A misspelt variable is ignored, and the default stays in force
    Given the environment of a complete entry process
    And the variable CALER_PORT is "8090"
    When the settings are read
    Then exactly these settings are reported: DOTTERELHILL_CALER_PORT

  Scenario: Every peer refuses a process whose public key does not match its secret key
    Given the environment of a complete entry process
    And the public key of another deployment
    When the settings are read
    Then exactly these settings are reported: peer_public_key

  Scenario: A process starts with two equal ports, one of which then has no listener
    Given the environment of a complete entry process
    And the variable FORWARD_PORT is "8080"
    When the settings are read
    Then exactly these settings are reported: forward_port

  Scenario: Callers can read the state, since the admin port listens on the callers' address
    Given the environment of a complete entry process
    And the variable ADMIN_HOST is "10.0.0.5"
    When the settings are read
    Then exactly these settings are reported: admin_host

  Scenario: A secret is printed with the settings or in a report of wrong settings
    Given the environment of a complete entry process
    When the settings are read
    Then no shown setting holds a secret
    Given the variable DEPLOYMENT_KEY is "short-but-secret"
    When the settings are read
    Then exactly these settings are reported: deployment_key
    And no report holds "short-but-secret"

  Scenario: A setting is shown with the wrong source, or its flag does not override the variable
    Given the environment of a complete entry process
    And the variable CALLER_PORT is "8090"
    When the settings are read with flag caller_port "8091"
    Then caller_port is shown as 8091 from flag
    And region is shown as serra from environment
    And peer_port is shown as 8082 from default
