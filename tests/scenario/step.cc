#include "scenario/step.h"

#include <fstream>

namespace pomelokeel::scenario {
namespace {

struct Word {
  std::string m_text;
  bool m_quoted = false;
};

// Splits a line into words; false if a quote is not closed.
bool splitWords(const std::string &Line, std::vector<Word> &Out) {
  std::size_t I = 0;
  while (I < Line.size()) {
    if (Line[I] == ' ' || Line[I] == '\t') {
      ++I;
      continue;
    }
    const bool Quoted = Line[I] == '\'';
    const std::size_t Begin = Quoted ? I + 1 : I;
    const std::size_t End = Line.find_first_of(Quoted ? "'" : " \t", Begin);
    if (Quoted && End == std::string::npos)
      return false;
    Out.push_back({Line.substr(Begin, End - Begin), Quoted});
    I = End == std::string::npos ? Line.size() : End + (Quoted ? 1 : 0);
  }
  return true;
}

Step makeStep(int Line, const std::vector<Word> &Words) {
  Step S;
  S.m_line = Line;
  S.m_command = Words.front().m_text;
  for (std::size_t I = 1; I < Words.size(); ++I) {
    const std::string &Text = Words[I].m_text;
    const std::size_t Equals = Text.find('=');
    if (Words[I].m_quoted || Equals == std::string::npos)
      S.m_arguments.push_back(Text);
    else
      S.m_options[Text.substr(0, Equals)] = Text.substr(Equals + 1);
  }
  return S;
}

} // namespace

std::string Step::argument(std::size_t Index) const {
  return Index < m_arguments.size() ? m_arguments[Index] : "";
}

std::string Step::option(const std::string &Name,
                         const std::string &Default) const {
  const auto It = m_options.find(Name);
  return It == m_options.end() ? Default : It->second;
}

long Step::numberOption(const std::string &Name, long Default) const {
  const auto It = m_options.find(Name);
  return It == m_options.end() ? Default : std::stol(It->second);
}

base::Result<std::vector<Step>>
loadScenario(const std::filesystem::path &File) {
  std::ifstream In(File);
  if (!In)
    return base::Error{base::ErrorKind::NotFound,
                       File.string() + " cannot be read"};
  std::vector<Step> Steps;
  std::string Line;
  for (int Number = 1; std::getline(In, Line); ++Number) {
    std::vector<Word> Words;
    if (!splitWords(Line, Words))
      return base::Error{base::ErrorKind::BadRequest,
                         File.string() + ":" + std::to_string(Number) +
                             ": quote is not closed"};
    if (Words.empty() || Words.front().m_text.front() == '#')
      continue;
    Steps.push_back(makeStep(Number, Words));
    if (Steps.back().m_command != "include")
      continue;
    auto Included = loadScenario(File.parent_path() / Steps.back().argument(0));
    if (!Included)
      return Included;
    Steps.pop_back();
    Steps.insert(Steps.end(), Included->begin(), Included->end());
  }
  return Steps;
}

} // namespace pomelokeel::scenario
