Feature: Names of metrics

  Scenario: A metric that the table lacks makes every request fail
    Given every metric name that the package counts, sets or observes
    Then each name is in the table with the kind and label of its use

  Scenario: A gauge reads a field that the request state lacks, so that every flush fails
    Given a process with the request state of two minions, one of them ejected
    When its gauges are read
    Then the gauge of ejected minions is 1
