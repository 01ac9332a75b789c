#include "model/record.h"

#include "mutate.h"

using namespace pomelokeel::model;

// All entries read the same records, so a record that crashes the decoder would
// crash all entries.
TEST(Record, MutatedDocumentsDecodeOrNameTheField) {
  JobSpec Spec;
  Spec.m_key = "k";
  Spec.m_account = "a";
  Spec.m_class = "c";
  Spec.m_payload = {{"runMs", 5}};
  const Submission S{"j", Spec};
  detail::checkMutations(S);
  detail::checkTextMutations(S);
  detail::checkMutations(Record{"id",
                                RecordKind::JobSubmitted,
                                "e1",
                                3,
                                {5, 6},
                                pomelokeel::base::encode(S)});
  detail::checkMutations(Placement{"j", 1, {{"w", 0, 4}}, "why"});
  JobResult Result;
  Result.m_reason = pomelokeel::base::ErrorKind::WorkerLost;
  detail::checkMutations(Finish{"j", 1, Result});
  detail::checkMutations(Requeue{"j", 1, "why", true, false, 5, Json{1}});
}
