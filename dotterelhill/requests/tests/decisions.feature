Feature: Decisions without I/O

  Scenario: A minion with repeated failures keeps getting requests, or gets more than one probe
    Then a minion with 5 failures in a row is ejected for 5, 10, 20, 40, 60 and 60 seconds
    And it gets exactly one probe at a time and returns after an answer

  Scenario: A slow minion keeps its share of requests, or failures eject most minions at once
    Then a minion above 5 times the median latency is ejected
    And of 10 failing minions 3 are ejected

  Scenario: A request is forwarded to a distant or full peer although a nearer one has a free slot
    Then peers are chosen by domain, then region, and a burst does not exceed reported slots

  Scenario: Retries multiply the load on a failing service
    Then 1000 failing requests get at most 110 retries
    And only repeatable requests or ones that were not dispatched are retried

  Scenario: A full queue sheds a request of high priority, or keeps one that it shed
    Then a full queue sheds low before normal before urgent and newer before older

  Scenario: The slot of an abandoned request is freed while the minion may still work on it
    Then an abandoned slot stays taken for 30 seconds or until it is released

  Scenario: A request stays in the queue for more than half of its deadline
    Then a request that waits in virtual time is refused at half of its deadline

  Scenario: A replayed or very old forwarded request is accepted
    Then nonces are accepted once, out of order, and never below the window

  Scenario: Claims of many keys exhaust the memory, or a later claim replaces the first
    Then 50000 claims take less than 4 MB and each first claim is found

  Scenario: Each claim is appended on its own, or a claim whose append was lost gets a new id
    Then batches are 0.09 seconds apart and keep a claim until it was read back
