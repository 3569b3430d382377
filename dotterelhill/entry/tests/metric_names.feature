Feature: Names of metrics

  Scenario: A metric that the table lacks makes every request fail
    Given every name of a metric that the package counts, sets or observes
    Then each one is in the table with the kind and label of its use
