Feature: the resignation of a leader that stops by plan

  Background:
    Given 3 processes with 20 minions, with processor time of 6 ms for each message

  # Guards against a resignation that waits for the followers of the term: stopping 13 of them one
  # after the other took 5 s of a leader with 0.12 of a processor, and a time limit did not end it.
  Scenario: A busy leader stores its resignation only after its term is cleaned up
    When 160 tasks of 1 second are submitted each second for 4 seconds
    And each read that is cancelled takes 1.5 seconds to end
    And the leader stops by plan
    And 2 seconds pass in the cluster
    Then its resignation or a later claim was stored within 1.0 seconds
    And another process leads

  # Guards against followers that are stopped one after the other, which leaves reads of the store in
  # progress when the process closes its connections.
  Scenario: The term of a leader that has resigned goes on while its followers stop one by one
    When each read that is cancelled takes 0.6 seconds to end
    And the leader stops by plan
    And 1 seconds pass in the cluster
    Then the term of the process that stopped has ended

  @at-most-once
  Scenario: A busy leader that has resigned sends starts or renews leases until its term is cleaned up
    When 160 tasks of 1 second are submitted each second for 4 seconds
    And each read that is cancelled takes 0.6 seconds to end
    And the leader stops by plan
    And 12 seconds pass in the cluster
    Then it sent no order after its resignation or a later claim was stored
    And no task that was done started again
    And all submitted tasks are done

  # Guards against a conditional append that fails because a renewal has grown the stream meanwhile.
  Scenario: A resignation is lost because a renewal of the claim is on its way
    When the leader stops by plan while its renewal is on its way
    And 2 seconds pass in the cluster
    Then its resignation was stored within 1.0 seconds

  Scenario Outline: A resignation is given up after an attempt that <fate>
    When no process reaches the leader
    And for 0.4 seconds each append of the leader <fate>
    And the leader stops by plan
    And 2 seconds pass in the cluster
    Then its resignation was stored once within 1.0 seconds

    Examples:
      | fate                               |
      | is refused                         |
      | is stored, but its answer is lost  |

  # Guards against a term of a process that is about to exit, after which the next claim waits for
  # the end of its lease.
  Scenario: A process that stops while its claim is on its way begins a term
    When the leader is killed and the next one stops by plan while its claim is on its way
    And 3 seconds pass in the cluster
    Then the claim of the process that stopped is resigned
    And another process leads
