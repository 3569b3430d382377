Feature: Check of a configuration before it is sent

  Scenario Outline: A planted fault of a configuration is not found
    Given a configuration file with <path> of <value>
    When the configuration is checked
    Then the exit status is 1 and these words are printed: <words>
    And no key is printed

    Examples:
      | path                     | value    | words                                     |
      | routes.1.pathPrefix      | "/a/"    | 1 findings, routes[1].pathPrefix, routes[0] |
      | routes.1.pathPrefix      | "b/"     | routes[1].pathPrefix, never matches       |
      | routes.1.name            | "a"      | routes[1].name, replaces routes[0]        |
      | routes.0.host            | "h:80"   | routes[0].host, never matches             |
      | routes.0.service         | "other"  | routes[0].service, 'other' is not declared |
      | routes.0.timeoutMs       | 49       | routes[0].timeoutMs, can't be met         |
      | routes.0.maxAttempts     | 0        | routes[0].maxAttempts                     |
      | routes.0.stretch         | 0        | routes[0], no time                        |
      | limits.headerTimeoutMs   | 15001    | limits.headerTimeoutMs, above             |
      | limits.maxBodyBytes      | 0        | limits.maxBodyBytes                       |
      | tenants.0.apiKeys        | []       | tenants[0].apiKeys                        |
      | tenants.0.apiKeys        | ["kx "]  | tenants[0].apiKeys[0], header             |
      | tenants.1.apiKeys        | ["k-secret"] | tenants[1].apiKeys[0], key of tenants[0] |
      | tenants.0.weight         | 0        | tenants[0].weight                         |
      | tenants.0.maxCount.memMb | -1       | tenants[0].maxCount.memMb, negative       |
      | tenants.1.name           | "t"      | tenants[1].name                           |
      | tenants.1.name           | ""       | tenants[1].name                           |
      | version                  | 0        | version, 1 or more                        |

  Scenario: A sound configuration has findings, or an unreadable one has a wrong exit status
    Given a configuration file with version of 3
    When the configuration is checked
    Then the exit status is 0 and these words are printed: no findings
    Given a configuration file with version of "x"
    When the configuration is checked
    Then the exit status is 2 and these words are printed: version
    When the command line is "config check /nowhere.json"
    Then the exit status is 2 and these words are printed: /nowhere.json

  Scenario: A difference from the configuration in force is not told, or a key is printed
    Given a configuration file with version of 3
    And a configuration in force with tenants.0.apiKeys of ["k-old"]
    When the configuration is checked against it
    Then the exit status is 1 and these words are printed: version, ignored, 1 added, 1 revoked
    And no key is printed
    Given a configuration in force with version of 2
    When the configuration is checked against it
    Then the exit status is 0 and these words are printed: 0 differences
    Given a configuration file with routes.0.priority of 4
    And a configuration in force with routes.1.name of "gone"
    When the configuration is checked against it as JSON
    Then these words are printed: "subject": "queue gone", "change": "removed", priority: 0 -> 4
