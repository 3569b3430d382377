Feature: rolling replacement of the minions of a service

  Scenario Outline: a long run is lost because it starts on a minion that is replaced soon
    Given 8 minions of 4 processors with speed placement
    And "m5" has a run and takes 1.0 times as long as others
    And <event>
    When job "a" of <task> arrives
    And 0.1 seconds pass in rounds
    Then job "a" runs <where>

    Examples:
      | event                              | task                 | where         |
      | 2 minions are replaced             | a task of 10 seconds | on a new one  |
      | 2 minions are replaced             | a short task         | on "m5"       |
      | 2 minions are replaced             | a checkpointing task | on "m5"       |
      | 2 minions are replaced             | a lasting task       | on "m5"       |
      | 1 minions are replaced             | a task of 10 seconds | on "m5"       |
      | 2 minions restart 2 times          | a task of 10 seconds | on "m5"       |
      | 2 minions restart 3 times          | a task of 10 seconds | on "m5"       |
      | 2 minions were replaced long ago   | a task of 10 seconds | on "m5"       |

  Scenario: new minions of a replacement get few runs
    Given 8 minions of 4 processors with speed placement
    And 2 minions are replaced
    And the waiting jobs "old" and later "new" of 40 tasks each
    When 0.1 seconds pass in rounds
    Then "n0" has 4 runs
    And 0 minions are on probation
