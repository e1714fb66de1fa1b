Feature: The main path of a request
  Callers send requests to an entry, which answers each of them once.

  Background:
    Given a platform, an engine, an order desk and 2 entries

  Scenario: A streamed answer arrives whole
    When a caller asks for 20 tokens as a stream
    Then the answer is the engine's, byte for byte

  Scenario: A booking is sent twice with the same key
    When a caller books "room 12" with key "b-1" at entry 1
    And the outcome of key "b-1" is "completed"
    And a caller books "room 12" with key "b-1" at entry 2
    Then both answers are the same
    And "room 12" was booked 1 time

  Scenario: A key is used again for another booking
    When a caller books "room 12" with key "b-1" at entry 1
    And a caller books "room 13" with key "b-1" at entry 2
    Then the last answer is refused as "not_run" with status 422
    And "room 13" was booked 0 times

  Scenario: A caller is not known
    When somebody asks for 20 tokens with a wrong credential
    Then the last answer is refused as "not_run" with status 401

  Scenario: An endpoint leaves
    When the order desk is drained
    And a caller books "room 14" with key "b-2" at entry 1
    Then the last answer is refused as "not_run" with status 503
    And "room 14" was booked 0 times
