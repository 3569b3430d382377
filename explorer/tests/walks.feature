Feature: Walks over the code without a fault

  @capacity @single-place @resume-once @domain-out @at-most-once @leaving @manifest
  Scenario: Some order of messages, failures and changes breaks an invariant
    Given the code without a fault
    When seeds 1 to 3 are walked for 250 steps each
    Then no invariant is broken
    And at least 20 task starts, 40 manifests and 5 keyed dispatches happen

  Scenario: A seed gives another walk on a second run and can't be reported
    Given the fault "finished-task-pending-again"
    When seeds 1 to 1 are walked for 250 steps each
    Then the invariant "ended-task" is broken
    And a second run gives the same result

  Scenario: A trace stays too long to be read
    Given the fault "finished-task-pending-again"
    When seed 1 is walked for 250 steps and shortened for 4 seconds
    Then the invariant "ended-task" is broken
    And the shortened trace has fewer than 10 steps

  Scenario: Two processes that can't hear each other take each other's minions all the time
    Given a domain with two entry processes that hold its minion and its workers
    When the two can't hear each other for 120 seconds, while both reach the log
    Then fewer than 30 records are accepted in that time
