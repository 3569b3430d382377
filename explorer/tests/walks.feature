Feature: Walks over code without an injected fault

  @capacity @single-place @resume-once @domain-out @at-most-once @leaving @manifest
  Scenario: An order of messages, failures and manifest changes breaks an invariant
    Given code without an injected fault
    When walks of seeds 1 to 3 are run with 250 steps each
    Then no invariant is broken
    And at least 20 task starts, 40 manifests and 5 keyed dispatches occur

  Scenario: A violation can't be reproduced because a second run with its seed differs
    Given code with the injected fault "finished-task-pending-again"
    When walks of seeds 1 to 1 are run with 250 steps each
    Then the invariant "ended-task" is broken
    And a second run prints the same result

  Scenario: The trace of a violation is too long to read because irrelevant steps are not removed
    Given code with the injected fault "finished-task-pending-again"
    When the walk of seed 1 is run with 250 steps and shortened for 4 seconds
    Then the invariant "ended-task" is broken
    And the shortened trace has fewer than 10 steps

  Scenario: Two processes that can't reach each other repeatedly take over each other's minions
    Given a failure domain with two entry processes that hold its minion and its workers
    When the two are cut off from each other for 120 seconds, while both reach the log
    Then fewer than 30 records are accepted in that time
