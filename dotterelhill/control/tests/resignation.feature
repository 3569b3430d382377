Feature: the resignation of a leader that stops by plan

  Background:
    Given 3 processes with 20 minions, with processor time of 6 ms for each message

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
