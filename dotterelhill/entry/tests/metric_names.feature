Feature: Names of metrics

  Scenario: A metric that the table lacks makes every request fail
    Given every name of a metric that the package counts, sets or observes
    Then each one is in the table with the kind and label of its use

  Scenario: A gauge that reads a field which the request state lacks ends every flush with an error
    Given a process with the request state of two minions, one of them ejected
    When its gauges are read
    Then the gauge of ejected minions is 1
