#include "platform/decode.h"

#include "model/mutate.h"

#include <gtest/gtest.h>

#include <limits>
#include <string>
#include <vector>

namespace pomelokeel::platform::tests {
namespace {

TEST(DecodeJob, ReadsStepsAndIgnoresUnknownFields) {
  const auto S = decodeJob(
      R"({"spec":"x","steps":[{"count":4,"cpu":500,"memMb":256,"gpu":2,)"
      R"("estMs":900,"dataRack":"r1","gang":true,"rackLocal":true},)"
      R"({"count":2,"after":[0],"savesProgress":true,"antiAffinity":1,)"
      R"("requires":"a","newField":1}],"times":3,"initialMs":5})");
  ASSERT_TRUE(S.ok()) << base::toString(S.error());
  ASSERT_EQ(S->m_steps.size(), 2u);
  EXPECT_EQ(S->m_steps[0].m_each, (batch::Resources{500, 256, 2}));
  EXPECT_TRUE(S->m_steps[0].m_gang && S->m_steps[0].m_rackLocal);
  EXPECT_EQ(S->m_steps[1].m_dependencies, std::vector<int>{0});
  EXPECT_EQ(S->m_steps[1].m_label, "a");
  EXPECT_EQ(S->m_steps[1].m_perWorker, 1);
  EXPECT_EQ(S->m_occurrenceCount, 3);
}

// Guards against a record without a data centre, which would evacuate workers
// whose heartbeats name none.
TEST(EvacuatedDataCentre, IsTheRestOfTheKey) {
  EXPECT_EQ(evacuatedDataCentre("evacuate/a/b"), "a/b");
  EXPECT_EQ(evacuatedDataCentre("evacuate/"), std::nullopt);
  EXPECT_EQ(evacuatedDataCentre("config"), std::nullopt);
}

TEST(DecodeJob, InvalidBodiesGiveAnErrorMessage) {
  for (const char *Body : {"", "[]", "{\"steps\":7}",
                           "{\"steps\":[{\"count\":\"x\"}]}", "\xff\xfe"}) {
    const auto S = decodeJob(Body);
    ASSERT_FALSE(S.ok()) << Body;
    EXPECT_FALSE(S.error().m_message.empty());
  }
}

// Guards against conversions that are undefined or truncate: 4294967296 was
// read as a dependency on step 0.
TEST(DecodeJob, NumbersOutOfRangeAreErrors) {
  for (const char *Steps :
       {R"([{"count":1e300}])", R"([{"cpu":18446744073709551615}])",
        R"([{"gpu":9223372036854775807}])", R"([{"estMs":-1e18}])"}) {
    const auto S = decodeJob(R"({"steps":)" + std::string(Steps) + "}");
    EXPECT_FALSE(S.ok()) << Steps;
  }
  const auto S = decodeJob(R"({"steps":[{},{"after":[4294967296]}]})");
  ASSERT_TRUE(S.ok());
  EXPECT_FALSE(batch::check(*S).ok());
}

// Guards against the memory that very many short elements take, and against a
// limit that bodies of the usual size reach.
TEST(DecodeJob, NumbersOfStepsAndElementsAreLimited) {
  const auto Repeated = [](const std::string &Text, std::size_t Times) {
    std::string Out = "{\"steps\":[" + Text;
    for (std::size_t I = 1; I < Times; ++I)
      Out += "," + Text;
    return Out + "]}";
  };
  EXPECT_TRUE(decodeJob(Repeated("{}", batch::MaxSteps)).ok());
  EXPECT_FALSE(decodeJob(Repeated("{}", batch::MaxSteps + 1)).ok());
  // With two brackets and a comma after all elements but the last one, 175,000.
  constexpr std::size_t Elements = 174999;
  const auto WithSpare = [](const std::string &Steps) {
    return "{\"spare\"" + Steps.substr(Steps.find(':'));
  };
  EXPECT_TRUE(decodeJob(WithSpare(Repeated("0", Elements))).ok());
  EXPECT_FALSE(decodeJob(WithSpare(Repeated("0", Elements + 1))).ok());
  constexpr std::size_t BodyBytes = 262144;
  const std::string Dense = WithSpare(Repeated("[]", BodyBytes / 3 - 4));
  EXPECT_LE(Dense.size(), BodyBytes);
  EXPECT_GT(Dense.size(), BodyBytes - 10);
  EXPECT_TRUE(decodeJob(Dense).ok());
}

TEST(DecodeConfig, NumbersOutOfRangeAreErrors) {
  EXPECT_FALSE(decodeConfig({"config", R"({"version":1e300})"}).ok());
  EXPECT_FALSE(decodeConfig({"config", R"({"version":1,"routes":[)"
                                       R"({"priority":4294967296}]})"})
                   .ok());
}

TEST(DecodeConfig, ReadsRoutesAccountsAndLimits) {
  const auto C = decodeConfig(
      {"config",
       R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/p/",)"
       R"("service":"s","priority":2,"attempts":3,"stretch":1.5,"sloMs":400,)"
       R"("public":true}],"tenants":[{"name":"t","apiKeys":["k"],)"
       R"("guaranteed":{"gpu":16}}],"limits":{"maxBodyBytes":9}})"});
  ASSERT_TRUE(C.ok()) << base::toString(C.error());
  EXPECT_EQ(C->m_version, 7);
  ASSERT_EQ(C->m_routes.size(), 1u);
  EXPECT_EQ(C->m_routes[0].m_queue.m_stretch, 1.5);
  EXPECT_TRUE(C->m_routes[0].m_public);
  EXPECT_EQ(C->m_accounts[0].m_guaranteed, 16);
  EXPECT_EQ(C->m_maxBodyBytes, 9u);
}

TEST(DecodeConfig, OtherAndMalformedRecordsAreErrors) {
  EXPECT_FALSE(decodeConfig({"wave/1", "{}"}).ok());
  EXPECT_FALSE(decodeConfig({"config", "not json"}).ok());
  EXPECT_FALSE(decodeConfig({"config", "{}"}).ok());
}

constexpr const char *ValidHeartbeat =
    R"({"service":"s","addr":"a:1","zone":"z","state":"ready","seq":4,)"
    R"("capacity":{"cpu":16000,"memMb":32768,"gpu":8},"labels":["a","r1-3"],)"
    R"("born":1700000000123})";

TEST(DecodeHeartbeat, ReadsTheIncarnationAndTheRack) {
  const auto H = decodeHeartbeat("i-1", ValidHeartbeat);
  ASSERT_TRUE(H.ok()) << base::toString(H.error());
  EXPECT_EQ(H->m_worker.m_rack, "r1-3");
  EXPECT_EQ(H->m_worker.m_startTime, 1700000000123);
  EXPECT_EQ(H->m_worker.m_workerIncarnation,
            incarnationOf("i-1", 1700000000123));
  EXPECT_EQ(H->m_worker.m_capacity.m_accelerators, 8);
}

// Guards against a worker that gets urgent work while it is slow after its
// start.
TEST(DecodeHeartbeat, ReadsForHowLongTheWorkerIsCold) {
  base::Json J = base::parseJson(ValidHeartbeat);
  J["coldLeftMs"] = 2500;
  const auto H = decodeHeartbeat("i-1", base::dumpJson(J));
  ASSERT_TRUE(H.ok()) << base::toString(H.error());
  EXPECT_EQ(H->m_worker.m_coldLeftMs, 2500);
}

// Other programs send malformed heartbeats. They must not describe a worker.
TEST(DecodeHeartbeat, RejectsMissingFieldsAndWrongTypes) {
  for (const char *Body :
       {"{}", "\x01\x02", R"({"service":1})",
        R"({"service":"s","addr":"a:1","zone":"z","state":"odd","seq":4,)"
        R"("capacity":{}})",
        R"({"service":"s","addr":"a:1","zone":"z","state":"ready","seq":"4",)"
        R"("capacity":{}})"})
    EXPECT_FALSE(decodeHeartbeat("i-1", Body).ok()) << Body;
}

// Guards against a worker with an address that no call can reach, or with
// amounts whose sums overflow.
TEST(DecodeHeartbeat, RejectsAddressesAndNumbersOutOfRange) {
  const base::Json Valid = base::parseJson(ValidHeartbeat);
  for (const char *Address :
       {"", "a", "a:", "a:0", "a:70000", "a:-1", "a:99999999999", ":1"}) {
    base::Json J = Valid;
    J["addr"] = Address;
    EXPECT_FALSE(decodeHeartbeat("i-1", base::dumpJson(J)).ok()) << Address;
  }
  for (const char *Name : {"seq", "born", "remainingMs"}) {
    base::Json J = Valid;
    J[Name] = 1e300;
    EXPECT_FALSE(decodeHeartbeat("i-1", base::dumpJson(J)).ok()) << Name;
  }
  base::Json J = Valid;
  J["capacity"]["gpu"] = std::numeric_limits<std::int64_t>::max();
  EXPECT_FALSE(decodeHeartbeat("i-1", base::dumpJson(J)).ok());
}

/// Values that a reader must refuse in place of a number, as JSON text. A
/// number beyond the range of a double and NaN are not valid JSON.
const std::vector<std::string> &oddNumbers() {
  static const std::vector<std::string> All = {"1e300",
                                               "-1e300",
                                               "1e999",
                                               "NaN",
                                               "18446744073709551616",
                                               "9223372036854775807",
                                               "-1",
                                               "1.5",
                                               "\"1\"",
                                               "null",
                                               "true",
                                               "[]",
                                               "{}"};
  return All;
}

// Guards against a worker that is described by a heartbeat of another writer:
// every odd value of a field makes it name no worker.
TEST(DecodeHeartbeat, AnOddFieldMakesItNameNoWorker) {
  const base::Json Valid = base::parseJson(ValidHeartbeat);
  const auto With = [&](const std::string &Name, const std::string &Value) {
    base::Json J = Valid;
    J.erase(Name);
    std::string Text = base::dumpJson(J);
    return Text.substr(0, Text.size() - 1) + ",\"" + Name + "\":" + Value + "}";
  };
  ASSERT_TRUE(decodeHeartbeat("i-1", With("seq", "7")).ok());
  ASSERT_TRUE(decodeHeartbeat("i-1", With("born", "1.7e12")).ok());
  for (const std::string &Value : oddNumbers()) {
    EXPECT_FALSE(decodeHeartbeat("i-1", With("seq", Value)).ok()) << Value;
    if (Value == "null")
      continue; // Other fields may be missing.
    EXPECT_FALSE(decodeHeartbeat("i-1", With("born", Value)).ok()) << Value;
    if (Value == "1.5")
      continue; // An amount need not be a whole number.
    for (const char *Name : {"cpu", "memMb", "gpu"}) {
      const std::string Capacity =
          "{\"" + std::string(Name) + "\":" + Value + "}";
      EXPECT_FALSE(decodeHeartbeat("i-1", With("capacity", Capacity)).ok())
          << Capacity;
    }
  }
  for (const char *Name :
       {"service", "addr", "zone", "state", "capacity", "labels", "version"}) {
    for (const char *Value :
         {"7", "true", "\"\xff\"", "[7]", "[[]]", "[\"a\",{}]"})
      EXPECT_FALSE(decodeHeartbeat("i-1", With(Name, Value)).ok())
          << Name << Value;
  }
  for (const char *Name : {"slots", "coldLeftMs", "remainingMs", "clockMs"}) {
    for (const char *Value : {"\"1\"", "1e300", "[]", "true"})
      EXPECT_FALSE(decodeHeartbeat("i-1", With(Name, Value)).ok())
          << Name << Value;
  }
  for (const char *Address : {"\"a:0\"", "\"a:65536\"", "\"a:1.5\""})
    EXPECT_FALSE(decodeHeartbeat("i-1", With("addr", Address)).ok()) << Address;
  EXPECT_FALSE(decodeHeartbeat("", ValidHeartbeat).ok());
  EXPECT_FALSE(decodeHeartbeat("i-1", "").ok());
  // The last one of several equal keys counts.
  EXPECT_FALSE(decodeHeartbeat("i-1", With("seq", "1,\"seq\":\"x\"")).ok());
}

TEST(DecodeHeartbeat, RejectsDeepNesting) {
  const std::string Text = ValidHeartbeat;
  const std::string Deep(100000, '[');
  EXPECT_FALSE(decodeHeartbeat("i-1", Deep).ok());
  EXPECT_FALSE(decodeHeartbeat("i-1", Text.substr(0, Text.size() - 1) +
                                          R"(,"x":)" + Deep +
                                          std::string(100000, ']') + "}")
                   .ok());
}

TEST(DecodePollAnswer, ReadsBothLists) {
  const auto A = decodePollAnswer(
      "i-1", R"({"clockMs":5,"born":9,"running":[["t.0.0.0",2,"s",41,3]],)"
             R"("ended":[[58,"t.0.0.1",1,"done",""]]})");
  ASSERT_TRUE(A.m_answered);
  EXPECT_EQ(A.m_clock, 5);
  EXPECT_EQ(A.m_workerIncarnation, incarnationOf("i-1", 9));
  ASSERT_EQ(A.m_runs.size(), 1u);
  EXPECT_EQ(A.m_runs[0].m_percent, 41);
  ASSERT_EQ(A.m_ends.size(), 1u);
  EXPECT_EQ(A.m_ends[0].m_kind, batch::EndKind::Done);
}

TEST(DecodePollAnswer, AMalformedAnswerIsNoAnswer) {
  for (const char *Body :
       {"", "[]", R"({"running":7})", R"({"ended":{}})", R"({"clockMs":1e300})",
        R"({"born":"x"})", R"({"born":1.5})", R"({"born":-1})", "\xff",
        R"({"clockMs":NaN})"})
    EXPECT_FALSE(decodePollAnswer("i", Body).m_answered) << Body;
  EXPECT_FALSE(decodePollAnswer("i", std::string(100000, '[')).m_answered);
}

/// Rows of another writer that no JSON parser reads, or only in part.
const std::vector<std::string> &unreadableRows() {
  static const std::vector<std::string> All = {
      std::string(100000, '[') + std::string(100000, ']'),
      "[\"a\",1,\"\"," + std::string(100000, '[') + std::string(100000, ']') +
          "]",
      R"(["a",1,"",1e999])",
      "[\"\xff\xfe\",1,\"\",5]",
      R"(["\ud800",1,"",5])",
      R"(["a",NaN,"",5])"};
  return All;
}

// Guards against a worker that counts as silent, and is followed no longer,
// because one row of its lists cannot be read.
TEST(DecodePollAnswer, AnUnreadableRowDoesNotHideTheOthers) {
  for (const std::string &Row : unreadableRows()) {
    std::string Body = R"({"clockMs":5,"born":9,"running":[["t",1,"s",5],)";
    Body += Row + R"(,["u",2,"s",6]],"ended":[[1,"v",1,"done",""],)";
    Body += Row + R"(,[3,"w",1,"done",""]]})";
    const auto A = decodePollAnswer("i", Body);
    ASSERT_TRUE(A.m_answered) << Row.substr(0, 80);
    EXPECT_EQ(A.m_clock, 5);
    EXPECT_EQ(A.m_malformed.m_count, 2) << Row.substr(0, 80);
    ASSERT_EQ(A.m_runs.size(), 2u) << Row.substr(0, 80);
    EXPECT_EQ(A.m_runs[1].m_task, "u");
    ASSERT_EQ(A.m_ends.size(), 2u) << Row.substr(0, 80);
    EXPECT_EQ(A.m_ends[1].m_task, "w");
  }
}

// Guards against a run that counts as ended because its end did not fit in the
// answer. Rows that cannot be read take up room too.
TEST(DecodePollAnswer, AFullListOfEndsMayHideMore) {
  for (const int Count : {0, 499, 500}) {
    base::Json J = {{"ended", base::Json::array()}};
    for (int I = 0; I < Count; ++I)
      J["ended"].push_back(I == 7 ? base::Json(7)
                                  : base::Json({I + 1, "t", 1, "done", ""}));
    const auto A = decodePollAnswer("i", base::dumpJson(J));
    ASSERT_TRUE(A.m_answered);
    EXPECT_EQ(A.m_moreEnds, Count == 500) << Count;
  }
}

// Guards against a malformed row that hides the rows beside it, so that the
// worker counts as silent.
TEST(DecodePollAnswer, AMalformedRowDoesNotHideTheOthers) {
  const auto A = decodePollAnswer(
      "i", R"({"running":[["t",1,"s",5],[7],["u",2,"s",6]],)"
           R"("ended":[[1,"v",1,"done",""],[2,"w",1,"exploded",""],)"
           R"([3,"x",4294967297,"done",""],[4,"y",1,"failed",""]]})");
  ASSERT_TRUE(A.m_answered);
  ASSERT_EQ(A.m_runs.size(), 2u);
  EXPECT_EQ(A.m_runs[1].m_task, "u");
  ASSERT_EQ(A.m_ends.size(), 2u);
  EXPECT_EQ(A.m_ends[1].m_task, "y");
}

// Guards against a list that is read only in part: the runs that are missing
// from it would count as ended.
TEST(DecodePollAnswer, AMalformedRowTellsWhichRunAndEndItMayStandFor) {
  const auto Run =
      decodePollAnswer("i", R"({"running":[["t",1,"s","x"]]})").m_malformed;
  EXPECT_TRUE(Run.mayContain({"t", 1}));
  EXPECT_FALSE(Run.mayContain({"t", 2}));
  for (const char *Row : {"7", "[]", R"(["t"])", R"(["t",1e10,"s",5])"}) {
    const auto Any =
        decodePollAnswer("i", R"({"running":[)" + std::string(Row) + "]}");
    EXPECT_TRUE(Any.m_malformed.mayContain({"t", 1})) << Row;
  }
  const auto End =
      decodePollAnswer("i", R"({"ended":[[58,"t",1,"exploded"]]})").m_malformed;
  EXPECT_TRUE(End.mayContain({"t", 1}));
  EXPECT_FALSE(End.mayContain({"u", 1}));
  EXPECT_EQ(End.m_lowestEnd, 58);
  for (const char *Number : {"0", "-1", "1e300", "\"x\"", "null"}) {
    const auto Any = decodePollAnswer(
        "i", R"({"ended":[[)" + std::string(Number) + R"(,"t",1,"done",""]]})");
    EXPECT_EQ(Any.m_malformed.m_lowestEnd, 1) << Number;
    EXPECT_TRUE(Any.m_ends.empty());
  }
}

// Guards against an end that names another run, or that makes the worker forget
// all its later ends: a run or a number that is no whole number was cut, and a
// number too large was acknowledged.
TEST(DecodePollAnswer, OddNumbersInARowNameNoRunAndNoEnd) {
  const auto Ended = [](const std::string &Row) {
    return decodePollAnswer(
        "i", R"({"clockMs":60000,"born":9,"running":[["a",1,"",5]],)"
             R"("ended":[[58,"t",1,"done",""],)" +
                 Row + R"(,[59,"u",1,"done",""]]})");
  };
  for (const std::string &Value : oddNumbers()) {
    if (Value == "1e999" || Value == "NaN")
      continue; // Not valid JSON.
    for (const std::string &Row : {"[" + Value + R"(,"v",1,"done",""])",
                                   R"([60,"v",)" + Value + R"(,"done",""])"}) {
      const auto A = Ended(Row);
      ASSERT_TRUE(A.m_answered) << Row;
      ASSERT_EQ(A.m_ends.size(), 2u) << Row;
      EXPECT_EQ(A.m_ends[1].m_task, "u") << Row;
      EXPECT_EQ(A.m_malformed.m_count, 1) << Row;
    }
    const auto A = decodePollAnswer("i", R"({"running":[["t",)" + Value +
                                             R"(,"s",5],["u",2,"s",6]]})");
    ASSERT_EQ(A.m_runs.size(), 1u) << Value;
    EXPECT_EQ(A.m_runs[0].m_task, "u");
    EXPECT_TRUE(A.m_malformed.mayContain({"t", 1})) << Value;
  }
  // The worker has run for a minute, so it cannot have ended as many runs.
  const auto TooLarge = Ended(R"([2147483647,"v",1,"done",""])");
  EXPECT_EQ(TooLarge.m_ends.size(), 2u);
  EXPECT_EQ(TooLarge.m_malformed.m_lowestEnd, 2147483647);
  EXPECT_TRUE(TooLarge.m_malformed.mayContain({"v", 1}));
}

// A row is read whatever its figures are; a percent is at most 100.
TEST(DecodePollAnswer, OddFiguresOfARunDoNotHideIt) {
  const auto A = decodePollAnswer(
      "i", R"({"running":[["t",1,"",2147483647,1e300],["u",1,"",99.9,"x"]]})");
  ASSERT_EQ(A.m_runs.size(), 2u);
  EXPECT_EQ(A.m_runs[0].m_percent, 100);
  EXPECT_EQ(A.m_runs[1].m_percent, 99);
}

constexpr const char *ValidPollAnswer =
    R"({"clockMs":5,"born":9,"running":[["a.0.0.0",2,"s",41,3],)"
    R"(["b.0.0.0",2,"s",41,3],["c.0.0.0",2,"s",41,3]],)"
    R"("ended":[[1,"d.0.0.1",1,"done",""],[2,"e.0.0.1",1,"failed",""],)"
    R"([3,"f.0.0.1",1,"stopped",""]]})";

// One row that was changed at random is read or counted as malformed, the
// others are read, and its end stays below no acknowledgement.
TEST(DecodePollAnswer, MutatedRowsNeverHideTheOthers) {
  const bool Passed = rc::check([] {
    base::Json J = base::parseJson(ValidPollAnswer);
    model::detail::mutate(J["running"][1]);
    model::detail::mutate(J["ended"][1]);
    const auto A = decodePollAnswer("i", base::dumpJson(J));
    RC_ASSERT(A.m_answered);
    RC_ASSERT(A.m_runs.size() + A.m_ends.size() +
                  static_cast<std::size_t>(A.m_malformed.m_count) ==
              6u);
    RC_ASSERT(A.m_runs.front().m_task == "a.0.0.0");
    RC_ASSERT(A.m_runs.back().m_task == "c.0.0.0");
    RC_ASSERT(A.m_ends.front().m_number == 1);
    RC_ASSERT(A.m_ends.back().m_number == 3);
    if (A.m_ends.size() == 2)
      RC_ASSERT(A.m_malformed.m_lowestEnd <= 2);
  });
  EXPECT_TRUE(Passed);
}

// Under a sanitizer this shows that no input leads to undefined behaviour.
TEST(Decode, MutatedInputIsReadOrRefused) {
  const std::vector<std::string> Samples = {
      ValidHeartbeat, ValidPollAnswer,
      (R"({"spec":"x","steps":[{"count":4,"cpu":500,"memMb":256,"gpu":2,)"
       R"("estMs":900},{"count":2,"after":[0],"antiAffinity":1}],"times":3,)"
       R"("initialMs":5,"intervalMs":7})"),
      (R"({"version":7,"routes":[{"name":"r","priority":2,"attempts":3,)"
       R"("stretch":1.5,"sloMs":400}],"tenants":[{"name":"t","apiKeys":["k"],)"
       R"("guaranteed":{"gpu":16}}],"limits":{"maxBodyBytes":9}})"),
      R"({"clockMs":7,"reason":"old"})"};
  const bool Passed = rc::check([&] {
    base::Json J = base::parseJson(*rc::gen::elementOf(Samples));
    model::detail::mutate(J);
    std::string Text = base::dumpJson(J);
    if (*rc::gen::arbitrary<bool>())
      model::detail::mutateBytes(Text);
    decodeConfig({"config", Text});
    decodePollAnswer("i", Text);
    decodeOrderAnswer(409, Text);
    if (const auto H = decodeHeartbeat("i", Text)) {
      constexpr std::int64_t Max = 1'000'000'000'000'000;
      RC_ASSERT(batch::fits(H->m_worker.m_capacity, {Max, Max, Max}));
      RC_ASSERT(H->m_sequence <= Max);
    }
    const auto S = decodeJob(Text);
    if (S && batch::check(*S)) {
      batch::makeOccurrence(*S);
      batch::criticalPathMs(*S);
    }
  });
  EXPECT_TRUE(Passed);
}

TEST(DecodeOrderAnswer, MapsStatusAndBodyToOutcomeReasonAndClock) {
  using batch::OrderOutcome;
  EXPECT_EQ(decodeOrderAnswer(200, R"({"clockMs":7})").m_outcome,
            OrderOutcome::Done);
  EXPECT_EQ(decodeOrderAnswer(200, R"({"clockMs":7})").m_clock, 7);
  EXPECT_EQ(decodeOrderAnswer(409, R"({"reason":"old"})").m_outcome,
            OrderOutcome::Ended);
  EXPECT_EQ(decodeOrderAnswer(409, R"({"reason":"room"})").m_reason, "room");
  EXPECT_EQ(decodeOrderAnswer(503, "").m_outcome, OrderOutcome::Refused);
  EXPECT_EQ(decodeOrderAnswer(503, "").m_reason, batch::UnhealthyReason);
  EXPECT_EQ(decodeOrderAnswer(429, "").m_reason, batch::UnhealthyReason);
  EXPECT_EQ(decodeOrderAnswer(421, R"({"clockMs":7})").m_clock, -1);
}

// Whatever the body is, the status tells the outcome.
TEST(DecodeOrderAnswer, AnOddBodyChangesNoOutcome) {
  using batch::OrderOutcome;
  const std::string Deep(100000, '[');
  for (const std::string &Body :
       {std::string(), std::string("[]"), std::string("\xff\xfe"), Deep,
        "{\"x\":" + Deep + "}", std::string(R"({"clockMs":1e300})"),
        std::string(R"({"clockMs":"7","reason":7})"),
        std::string(R"({"clockMs":-7,"reason":[]})"),
        std::string(R"({"clockMs":NaN})")}) {
    EXPECT_EQ(decodeOrderAnswer(200, Body).m_outcome, OrderOutcome::Done);
    EXPECT_LT(decodeOrderAnswer(200, Body).m_clock, 0) << Body.substr(0, 80);
    EXPECT_EQ(decodeOrderAnswer(409, Body).m_outcome, OrderOutcome::Refused);
    EXPECT_EQ(decodeOrderAnswer(409, Body).m_reason, "status409");
  }
}

} // namespace
} // namespace pomelokeel::platform::tests
