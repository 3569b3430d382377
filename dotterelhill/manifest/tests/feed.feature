Feature: Accepted manifests come into force in every process within seconds and are never reverted

  Background:
    Given 3 processes that follow the config stream
    And publication "first" on base 0 with autonomy 100 is appended
    And 2 seconds pass

  @manifest
  Scenario: A manifest takes longer than 2 s to come into force
    When publication "second" on base 1 with autonomy 200 is appended
    And 2 seconds pass
    Then version 2 with autonomy 200 is in force in processes "1 2 3"

  @manifest
  Scenario: Processes accept different publications when two are based on the same manifest
    When publication "a" on base 1 with autonomy 200 is appended
    And publication "b" on base 1 with autonomy 300 is appended
    And 2 seconds pass
    Then version 2 with autonomy 200 is in force in processes "1 2 3"
    And the verdict on "a" is "accepted" in processes "1 2 3"
    And the verdict on "b" is "base_outdated" in processes "1 2 3"

  @manifest
  Scenario: A publication repeated after a lost acknowledgement reverts a later manifest
    When publication "a" on base 1 with autonomy 200 is appended
    And publication "b" on base 2 with autonomy 300 is appended
    And publication "a" on base 1 with autonomy 200 is appended
    And 2 seconds pass
    Then version 3 with autonomy 300 is in force in processes "1 2 3"
    And the verdict on "a" is "accepted" in processes "1 2 3"

  @manifest
  Scenario: An invalid publication comes into force or blocks the next one
    When publication "a" on base 1 with autonomy 1 is appended
    And publication "b" on base 1 with autonomy 300 is appended
    And 2 seconds pass
    Then version 3 with autonomy 300 is in force in processes "1 2 3"
    And the verdict on "a" is "invalid" in processes "1 2 3"
    And the verdict on "a" contains a fault at "autonomy_seconds"

  Scenario: A manifest comes into force with a count that is too large for a snapshot
    When publication "a" on base 1 with 10**30 accelerators is appended
    And 2 seconds pass
    Then version 1 with autonomy 100 is in force in processes "1 2 3"
    And the verdict on "a" contains a fault at "limits.accelerators"

  @manifest
  Scenario Outline: A publication that can't be decoded stops the readers
    When <bytes> bytes are appended
    And publication "a" on base 1 with autonomy 200 is appended
    And 2 seconds pass
    Then version 3 with autonomy 200 is in force in processes "1 2 3"

    Examples:
      | bytes         |
      | truncated     |
      | deeply nested |

  @manifest
  Scenario: A process without access to the log gets no manifest from its peers
    Given process 3 is cut off from the log
    When publication "a" on base 1 with autonomy 200 is appended
    And 4 seconds pass
    Then version 1 with autonomy 100 is in force in processes "3"
    When process 1 relays its manifest to process 3
    Then version 2 with autonomy 200 is in force in processes "1 2 3"

  @manifest
  Scenario: An older manifest relayed by a peer replaces a newer one
    Given process 3 is cut off from the log
    When publication "a" on base 1 with autonomy 200 is appended
    And 4 seconds pass
    And process 3 relays its manifest to process 1
    Then version 2 with autonomy 200 is in force in processes "1 2"

  @manifest
  Scenario: Reading older records from the log reverts a relayed manifest
    Given process 3 is cut off from the log
    When publication "a" on base 1 with autonomy 200 is appended
    And publication "b" on base 2 with autonomy 300 is appended
    And 4 seconds pass
    And process 1 relays its manifest to process 3
    And process 3 reaches the log again
    And 6 seconds pass
    Then the version in force in process 3 never decreased
    And version 3 with autonomy 300 is in force in processes "1 2 3"
    And process 3 has the manifests of versions "1 2 3"

  @manifest
  Scenario: Restoring an older snapshot reverts a newer manifest
    When the state of process 1 is saved
    And publication "a" on base 1 with autonomy 200 is appended
    And 2 seconds pass
    And process 2 is restored from the saved state
    Then version 2 with autonomy 200 is in force in processes "1 2 3"

  Scenario: A truncated relayed record is accepted as a manifest
    When process 1 receives a truncated relayed record
    Then version 1 with autonomy 100 is in force in processes "1 2 3"

  Scenario: A process accepts relayed evidence for a manifest that it does not have
    Given process 3 is cut off from the log
    When publication "a" on base 1 with autonomy 200 is appended
    And 4 seconds pass
    And process 1 relays its evidence to process 3, asked 3 seconds ago
    Then the evidence of process 3 is between 4.1 and 6 seconds old
    When process 1 relays its manifest to process 3
    And process 1 relays its evidence to process 3, asked 3 seconds ago
    Then the evidence of process 3 is between 3 and 4.1 seconds old
