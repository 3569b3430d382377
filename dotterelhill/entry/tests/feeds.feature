Feature: Followers of the log's streams

  Scenario: A manifest that a peer relays does not hide earlier versions from the ledger
    Given a config stream with 3 accepted versions
    And a follower that has read nothing
    When a peer relays version 3 to the follower
    Then version 3 is in force
    When the follower reads the config stream from offset 1
    Then version 3 is in force
    And the Adopt of each version gets the verdict "accepted"

  Scenario: An Adopt waits for versions that are not read yet when a later one was relayed
    Given a config stream with 3 accepted versions
    And a follower that has read nothing
    When a peer relays version 3 to the follower
    Then the Adopt of version 1 gets the verdict "waits_for_manifest"

  Scenario: Publications after a trimmed stretch are judged by the manifest that a peer relayed
    Given a config stream with 4 accepted versions
    And a follower that has read nothing
    When a peer relays version 3 to the follower
    And the follower reads the config stream from offset 4
    Then version 4 is in force
