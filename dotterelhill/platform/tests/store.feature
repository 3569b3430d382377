Feature: calls to the store over a slow or silent link

  Scenario: an answer that arrives slowly is cut off and asked for again
    Given a store on loopback that sends an answer in 8 parts, 0.4 seconds apart
    When the newest configuration is read
    Then it is read whole with 1 call

  Scenario: a connection that went silent holds a reader for ever
    Given a store on loopback that sends an answer in 2 parts, 6 seconds apart
    When the newest configuration is read
    Then the read fails within 2 seconds

  Scenario: an append without an answer counts as not done
    Given a store on loopback that closes connections without an answer
    When a record is appended
    Then the append fails with an unknown effect

  Scenario Outline: an append that the store refused counts as unknown
    Given a store on loopback that answers <status>
    When a record is appended
    Then the append fails with no effect

    Examples:
      | status |
      | 429    |
      | 503    |
      | 507    |

  Scenario Outline: a refusal for a later writer is taken for an outage
    Given a store on loopback that answers <status> with <body>
    When a record is appended
    Then the append fails as <kind>

    Examples:
      | status | body                            | kind               |
      | 409    | {"reason":"fenced"}             | StoreFencedError   |
      | 409    | {"reason":"seq","sequence":7}   | StoreSequenceError |
      | 412    | {"end":9}                       | StoreConflictError |
