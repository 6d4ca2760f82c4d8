Feature: Every caller receives the whole answer to its own request

  Scenario: An engine dies in mid-stream
    Given a fleet of two data centres with three hosts
    When an engine breaks off after 7 tokens while a chat is answered
    Then the caller sees the whole answer without gap or repeat

  Scenario: A connection to an engine goes silent in mid-stream
    Given a fleet whose engines stand behind fault proxies
    When the connection goes silent while a chat is answered
    Then the caller sees the whole answer without gap or repeat

  Scenario: Connections between hosts go silent or are cut
    Given a fleet whose hosts forward to each other through fault proxies
    When chats go on while the proxies cut and silence connections
    Then every answer that was given is whole and its own

  Scenario: Each host is killed in turn under load
    Given a fleet of two data centres with three hosts
    When each host in turn is killed and replaced while chats go on
    Then every answer that was given is whole and its own
    And only callers of a killed host had a broken connection
