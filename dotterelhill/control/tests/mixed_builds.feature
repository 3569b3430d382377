Feature: Processes of the present build and of the one before tenants

  Scenario Outline: A <kind> of one build can't be read by the other
    Then a <kind> of the present build is read by the earlier one
    And a <kind> of the earlier build is read by the present one

    Examples:
      | kind           |
      | claim          |
      | renewal        |
      | peer status    |
      | hello          |
      | leader message |
      | relay message  |
      | submission     |
      | progress       |

  Scenario Outline: The answer to a claim is lost, or taken for the end of earlier leaders, when it comes from <build>
    When a claim is announced over HTTP to a process of <build>
    Then the claim is accepted and the answer tells <told>

    Examples:
      | build                                     | told                                    |
      | the present build that has led            | that earlier leaders end in 2.5 seconds |
      | the present build that has not led        | nothing                                 |
      | an earlier build                          | nothing                                 |
      | a later build that tells more             | that earlier leaders end in 2.5 seconds |
      | a later build that answers in another way | nothing                                 |
      | a build that tells no number              | nothing                                 |
      | a build that tells of a time before       | nothing                                 |

  Scenario Outline: The answer of a witness is lost, or <build> build is taken for one that answers
    When a witness of <build> build is asked over HTTP
    Then <result>

    Examples:
      | build       | result             |
      | the present | it has answered    |
      | an earlier  | there is no answer |

  @single-place
  Scenario: Jobs that an earlier build has stored are lost, or their runs and done tasks start again
    Given an earlier build has stored job "j" of 4 tasks, of which 0 is done, 1 runs and 2 has failed
    And an earlier build has stored job "k" of 2 tasks
    And an earlier build has stored job "x" of 2 tasks and its cancellation
    When processes "a b" start
    And 8 seconds pass
    Then every process shows job "j" as "completed"
    And every process shows job "k" as "completed"
    And every process shows job "x" as "cancelled"
    And the runs that were started are "j2:4 j3:1 k0:1 k1:1"

  @single-place
  Scenario: Jobs are lost or start again when an earlier build leads, or when it is succeeded
    Given processes "a b" that have run for 3 seconds
    When job "j" of 4 tasks of 12 seconds is submitted at a process that does not lead
    And 1 seconds pass
    And job "k" of 20 tasks of 12 seconds is submitted at a process that does not lead
    And 1 seconds pass
    And all processes are killed and an earlier build leads
    Then it knows 16 running tasks of jobs "j k"
    When the earlier build stores what it knows and ends
    And processes "c d" start
    And 30 seconds pass
    Then every process shows job "j" as "completed"
    And every process shows job "k" as "completed"
    And 24 starts were carried out

  @single-place
  Scenario: A task starts elsewhere while a leader of a build that needs its witness later still renews its lease
    Given processes "a b c d" that have run for 3 seconds
    When the leader is of a build that needs no witness while its own lease lasts
    And job "j" of 4 tasks of 40 seconds is submitted at a process that does not lead
    And 1 seconds pass
    And the leader and the minions with tasks of job "j" are cut off from the store and from all others
    And 14 seconds pass
    Then no task ran on two minions at a time

  Scenario: A cancellation is lost when tenants are published while an earlier build leads
    Given processes "a b" that have run for 3 seconds
    When tenant "t" submits job "j" of 2 tasks at each process in turn
    And tenant "t" cancels job "j"
    And all processes are killed and an earlier build leads
    Then it runs job "j" of tenant "t", which is cancelled
    When the earlier build stores what it knows and ends
    And processes "c d" start
    And 4 seconds pass
    Then each process shows job "j" to tenant "t" as "cancelled"

  Scenario Outline: A job of an earlier entry process is lost when tenants are published before
    Given processes "a b" that have run for 3 seconds
    And the leader has tenant "t" with a limit of 1 processors
    When an earlier entry process, which checks no keys, stores job "j" of 4 tasks
    And 0.5 seconds pass
    Then job "j" has 4 runs beside the limit of tenant "t"
    When 3 seconds pass
    Then each process shows job "j" to tenant "<reader>" as "completed"

    Examples: the job is not hidden from any tenant
      | reader |
      | t      |
      | u      |
