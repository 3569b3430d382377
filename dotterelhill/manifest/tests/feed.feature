Feature: an accepted manifest is in force everywhere within seconds and never reverts

  Background:
    Given 3 processes that follow the config stream
    And publication "first" on base 0 with autonomy 100 is appended
    And 2 seconds pass

  @manifest
  Scenario: a manifest takes longer than 2 s to come into force
    When publication "second" on base 1 with autonomy 200 is appended
    And 2 seconds pass
    Then version 2 with autonomy 200 is in force in processes "1 2 3"

  @manifest
  Scenario: processes disagree on two publications that were made from one manifest
    When publication "a" on base 1 with autonomy 200 is appended
    And publication "b" on base 1 with autonomy 300 is appended
    And 2 seconds pass
    Then version 2 with autonomy 200 is in force in processes "1 2 3"
    And the verdict on "a" is "accepted" in processes "1 2 3"
    And the verdict on "b" is "base_outdated" in processes "1 2 3"

  @manifest
  Scenario: a repeat after a lost acknowledgement reverts a later manifest
    When publication "a" on base 1 with autonomy 200 is appended
    And publication "b" on base 2 with autonomy 300 is appended
    And publication "a" on base 1 with autonomy 200 is appended
    And 2 seconds pass
    Then version 3 with autonomy 300 is in force in processes "1 2 3"
    And the verdict on "a" is "accepted" in processes "1 2 3"

  @manifest
  Scenario: a publication with a fault comes into force or blocks the next one
    When publication "a" on base 1 with autonomy 1 is appended
    And publication "b" on base 1 with autonomy 300 is appended
    And 2 seconds pass
    Then version 3 with autonomy 300 is in force in processes "1 2 3"
    And the verdict on "a" is "invalid" in processes "1 2 3"
    And the verdict on "a" names a fault at "autonomy_seconds"

  Scenario: a count that no snapshot can hold comes into force
    When publication "a" on base 1 with 10**30 accelerators is appended
    And 2 seconds pass
    Then version 1 with autonomy 100 is in force in processes "1 2 3"
    And the verdict on "a" names a fault at "limits.accelerators"

  @manifest
  Scenario Outline: an unreadable publication stops the readers
    When <bytes> bytes are appended
    And publication "a" on base 1 with autonomy 200 is appended
    And 2 seconds pass
    Then version 3 with autonomy 200 is in force in processes "1 2 3"

    Examples:
      | bytes         |
      | torn          |
      | deeply nested |

  @manifest
  Scenario: a process that is cut off gets no manifest from its peers
    Given process 3 is cut off from the log
    When publication "a" on base 1 with autonomy 200 is appended
    And 4 seconds pass
    Then version 1 with autonomy 100 is in force in processes "3"
    When process 1 relays its manifest to process 3
    Then version 2 with autonomy 200 is in force in processes "1 2 3"

  @manifest
  Scenario: a peer with an older manifest reverts a newer one
    Given process 3 is cut off from the log
    When publication "a" on base 1 with autonomy 200 is appended
    And 4 seconds pass
    And process 3 relays its manifest to process 1
    Then version 2 with autonomy 200 is in force in processes "1 2"

  @manifest
  Scenario: the way through the log takes a relayed manifest back
    Given process 3 is cut off from the log
    When publication "a" on base 1 with autonomy 200 is appended
    And publication "b" on base 2 with autonomy 300 is appended
    And 4 seconds pass
    And process 1 relays its manifest to process 3
    And process 3 reaches the log again
    And 6 seconds pass
    Then process 3 never had a lower version than before
    And version 3 with autonomy 300 is in force in processes "1 2 3"
    And process 3 knows the manifests of versions "1 2 3"

  @manifest
  Scenario: an older snapshot takes a newer manifest back
    When the state of process 1 is kept
    And publication "a" on base 1 with autonomy 200 is appended
    And 2 seconds pass
    And process 2 is restored from the kept state
    Then version 2 with autonomy 200 is in force in processes "1 2 3"

  Scenario: a torn relay is taken for a manifest
    When process 1 gets a torn relay
    Then version 1 with autonomy 100 is in force in processes "1 2 3"

  Scenario: relayed evidence makes a process sure of a manifest that it does not have
    Given process 3 is cut off from the log
    When publication "a" on base 1 with autonomy 200 is appended
    And 4 seconds pass
    And process 1 relays its evidence to process 3, asked 3 seconds ago
    Then the evidence of process 3 is between 4.1 and 6 seconds old
    When process 1 relays its manifest to process 3
    And process 1 relays its evidence to process 3, asked 3 seconds ago
    Then the evidence of process 3 is between 3 and 4.1 seconds old
