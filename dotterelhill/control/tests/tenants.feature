Feature: Ownership of jobs

  Background:
    Given processes "a b" that have run for 3 seconds

  Scenario: A tenant reads or cancels the job of another one
    When tenant "t" submits job "j" of 2 tasks at each process in turn
    And 0.3 seconds pass
    And tenant "u" cancels job "j"
    And 3 seconds pass
    Then each process shows job "j" to tenant "t" as "completed"
    And each process shows job "j" to tenant "u" as "none"
    And each process shows job "j" to tenant "" as "none"
    And 2 starts were carried out

  Scenario: A job can't be cancelled by its owner, not even before it was read
    When tenant "t" cancels job "j"
    And tenant "t" submits job "j" of 2 tasks at each process in turn
    And 3 seconds pass
    Then each process shows job "j" to tenant "t" as "cancelled"

  Scenario Outline: The next leader gives a job to another tenant that has used its id
    Given the fleet has no room for tasks
    When tenant "t" submits job "j" of 2 tasks at each process in turn
    And tenant "<other>" submits job "j" of 3 tasks with an earlier time
    And 1 seconds pass
    And the leader is killed
    And 4 seconds pass
    And the fleet has room again
    And 4 seconds pass
    Then each process shows job "j" to tenant "t" as "completed"
    And 2 starts were carried out

    Examples:
      | other |
      | s     |
      | u     |

  Scenario Outline: Two stored submissions of one id run both, or each leader chooses another one
    Given tenants "<tenants>" have stored job "j" of 2 tasks at <times> ms while nobody led
    When 4 seconds pass
    Then each process shows job "j" to tenant "<owner>" as "completed"
    And 2 starts were carried out

    Examples:
      | tenants | times | owner |
      | t u     | 5 9   | t     |
      | t u     | 9 5   | u     |
      | u t     | 7 7   | t     |

  Scenario: Records of tenants remain in the store after the end of their job, which then runs again
    When tenant "t" submits job "j" of 2 tasks at each process in turn
    And tenant "u" submits job "j" of 3 tasks with an earlier time
    And tenant "u" cancels job "j"
    And 126 seconds pass
    Then no record of job "j" is stored

  Scenario: Jobs that were accepted before there were tenants are lost to their clients
    When tenant "" submits job "j" of 2 tasks at each process in turn
    And 3 seconds pass
    Then each process shows job "j" to tenant "t" as "completed"

  Scenario: The leader's name for a tenant differs from that of the process that asks
    When the leader is asked over HTTP for job "j" of tenant "a&b=c/ü"
    Then it looks up job "j" of tenant "a&b=c/ü"

  Scenario: A message of the leader ends the connection of a relay of another build
    Given a message of the leader that names a version and rates
    Then an earlier build reads its first fields
    And a later build reads it without the newest fields

  Scenario: The leader names rates while it is loading, or none for a tenant that floods the fleet
    Given the leader measures 40 arrivals per second of tenant "t", whose work takes 8 s to drain
    Then the leader names a rate of 1.5 jobs per second for tenant "t" only
    When the leader is killed
    Then it names no rates, not even an empty list
