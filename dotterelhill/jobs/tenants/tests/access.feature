Feature: Access of requests to queues of tenants

  Scenario Outline: A request is handled without a valid key, or refused with one
    Given a configuration with tenant "t", whose key is "k", confirmed <age> seconds ago
    And strict revocation is <strict>
    When a request for "<path>" arrives with key "<key>"
    Then the decision is "<decision>"

    Examples:
      | key   | path    | age | strict | decision                       |
      |       | /q/1    | 0   | off    | a key is required              |
      |       | /q/1    | 99  | on     | a key is required              |
      | other | /q/1    | 3.4 | off    | unknown key                    |
      | other | /q/1    | 3.6 | off    | the configuration may be outdated |
      | k     | /q/1    | 99  | off    | tenant t                       |
      | k     | /q/1    | 4.9 | on     | tenant t                       |
      | k     | /q/1    | 5.1 | on     | the configuration may be outdated |
      |       | /open/1 | 99  | on     | no tenant                      |
      | other | /open/1 | 0   | off    | no tenant                      |
      | k     | /none/1 | 0   | off    | no such queue                  |

  Scenario Outline: A process serves with a configuration although it knows of a newer one for long
    Given a configuration with tenant "t", whose key is "k", confirmed 0 seconds ago
    And a newer version has been known for <seconds> seconds
    When a request for "/q/1" arrives with key "<key>"
    Then the decision is "<decision>"

    Examples:
      | seconds | key   | decision                       |
      | 1.9     | k     | tenant t                       |
      | 2.1     | k     | the configuration may be outdated |
      | 0.1     | other | the configuration may be outdated |

  Scenario: A deployment without tenants asks for keys
    Given a configuration without tenants, confirmed 99 seconds ago
    When a request for "/q/1" arrives with key ""
    Then the decision is "no tenant"

  Scenario Outline: A request for a queue that a newer configuration may have gets the final answer that there is none
    Given a configuration <tenants>, confirmed <age> seconds ago
    And a newer version has been known for <behind> seconds
    When a request for "/none/1" arrives with key "k"
    Then the decision is "<decision>"

    Examples:
      | tenants                              | age | behind | decision                          |
      | with tenant "t", whose key is "k"    | 3.4 | 0      | no such queue                     |
      | with tenant "t", whose key is "k"    | 3.6 | 0      | the configuration may be outdated |
      | with tenant "t", whose key is "k"    | 0   | 0.1    | the configuration may be outdated |
      | without tenants                      | 3.4 | 0      | no such queue                     |
      | without tenants                      | 3.6 | 0      | the configuration may be outdated |
      | without tenants                      | 0   | 0.1    | the configuration may be outdated |

  Scenario: A process that only can't tell whether its configuration is the newest one refuses the queues that it knows
    Given a configuration without tenants, confirmed 99 seconds ago
    When a request for "/q/1" arrives with key ""
    Then the decision is "no tenant"
