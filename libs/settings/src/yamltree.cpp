#include "details/yamltree.h"

#include <sstream>
#include <unordered_set>

#include <boost/locale/utf.hpp>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/exceptions.h>
#include <yaml-cpp/parser.h>

namespace arbutusgrade::details {

namespace {

constexpr std::string_view plainTag = "?";
constexpr std::string_view quotedTag = "!";

//! Ends parsing from within a callback of the YAML library; the finding is already recorded.
class ParsingStopped : public std::exception
{
};

Place placeOf(int file, const YAML::Mark &mark)
{
    return mark.is_null() ? Place{file, 1, 1} : Place{file, mark.line + 1, mark.column + 1};
}

class TreeBuilder : public YAML::EventHandler
{
public:
    TreeBuilder(int file, FindingList &findings) : m_file(file), m_findings(findings) { }

    void OnDocumentStart(const YAML::Mark & /*mark*/) override { }
    void OnDocumentEnd() override { }

    void OnNull(const YAML::Mark &mark, YAML::anchor_t anchor) override
    {
        checkNode(mark, plainTag, anchor);
        addValue(makeNode(NodeKind::Null, mark));
    }

    void OnAlias(const YAML::Mark &mark, YAML::anchor_t /*anchor*/) override
    {
        addFinding(m_findings, placeOf(m_file, mark), "aliases are not supported");
        addValue(makeNode(NodeKind::Null, mark));
    }

    void OnScalar(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor,
                  const std::string &value) override
    {
        checkNode(mark, tag, anchor);
        YamlNode node = makeNode(NodeKind::Scalar, mark);
        node.m_quoted = tag == quotedTag;
        node.m_text = value;
        if (!node.m_quoted && (value.empty() || value == "~" || value == "null")) {
            node.m_kind = NodeKind::Null;
        }
        addValue(std::move(node));
    }

    void OnSequenceStart(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor,
                         YAML::EmitterStyle::value /*style*/) override
    {
        checkNode(mark, tag, anchor);
        open(makeNode(NodeKind::List, mark));
    }

    void OnSequenceEnd() override
    {
        close();
    }

    void OnMapStart(const YAML::Mark &mark, const std::string &tag, YAML::anchor_t anchor,
                    YAML::EmitterStyle::value /*style*/) override
    {
        checkNode(mark, tag, anchor);
        open(makeNode(NodeKind::Map, mark));
    }

    void OnMapEnd() override
    {
        reportRepeatedKeys(m_open.back().m_node);
        close();
    }

    YamlNode &root()
    {
        return m_root;
    }

private:
    struct OpenNode
    {
        YamlNode m_node;
        std::optional<YamlNode> m_key; //!< Maps: key that waits for its value.
    };

    YamlNode makeNode(NodeKind kind, const YAML::Mark &mark) const
    {
        YamlNode node;
        node.m_kind = kind;
        node.m_place = placeOf(m_file, mark);
        return node;
    }

    void checkNode(const YAML::Mark &mark, std::string_view tag, YAML::anchor_t anchor)
    {
        if (anchor != 0) {
            addFinding(m_findings, placeOf(m_file, mark), "anchors are not supported");
        }
        if (!tag.empty() && tag != plainTag && tag != quotedTag) {
            addFinding(m_findings, placeOf(m_file, mark), "tags are not supported: " + quote(tag));
        }
    }

    void open(YamlNode node)
    {
        if (m_open.size() == static_cast<std::size_t>(maximumDepth)) {
            addFinding(m_findings, node.m_place,
                       "nested more than " + std::to_string(maximumDepth) + " levels deep");
            throw ParsingStopped();
        }
        m_open.push_back(OpenNode{std::move(node), std::nullopt});
    }

    void close()
    {
        YamlNode node = std::move(m_open.back().m_node);
        m_open.pop_back();
        addValue(std::move(node));
    }

    void addValue(YamlNode node)
    {
        if (m_open.empty()) {
            m_root = std::move(node);
            return;
        }
        OpenNode &parent = m_open.back();
        if (parent.m_node.m_kind == NodeKind::Map && !parent.m_key) {
            if (node.m_kind != NodeKind::Scalar) {
                addFinding(m_findings, node.m_place, "a key must be a word");
            }
            parent.m_key = std::move(node);
            return;
        }
        if (parent.m_key) {
            node.m_key = parent.m_key->m_text;
            node.m_keyPlace = parent.m_key->m_place;
            parent.m_key.reset();
        }
        if (parent.m_node.m_kind == NodeKind::Map && parent.m_node.m_items.size() == maximumKeys) {
            addFinding(m_findings, node.m_keyPlace,
                       "more than " + std::to_string(maximumKeys) + " keys in one map");
            throw ParsingStopped();
        }
        parent.m_node.m_items.push_back(std::move(node));
    }

    void reportRepeatedKeys(const YamlNode &map)
    {
        std::unordered_set<std::string_view> seen;
        for (const YamlNode &item : map.m_items) {
            if (!seen.insert(item.m_key).second) {
                addFinding(m_findings, item.m_keyPlace,
                           "key " + quote(item.m_key) + " is given twice in this map");
            }
        }
    }

    int m_file;
    FindingList &m_findings;
    std::vector<OpenNode> m_open;
    YamlNode m_root;
};

//! Refuses what is no UTF-8 text, so that later steps and JSON output need not handle it.
bool checkText(int file, std::string_view text, FindingList &findings)
{
    using Utf8 = boost::locale::utf::utf_traits<char>;
    Place place{file, 1, 1};
    const char *const end = text.data() + text.size();
    for (const char *position = text.data(); position != end;) {
        const char *const start = position;
        const boost::locale::utf::code_point point = Utf8::decode(position, end);
        const bool isControl = point < 0x20U && point != '\n' && point != '\r' && point != '\t';
        if (!boost::locale::utf::is_valid_codepoint(point) || isControl || point == 0x7fU) {
            addFinding(findings, place, "not UTF-8 text");
            return false;
        }
        if (point == '\n') {
            place.m_line += 1;
            place.m_column = 1;
        } else {
            place.m_column += static_cast<int>(position - start);
        }
    }
    return true;
}

bool checkSize(int file, std::string_view text, FindingList &findings)
{
    if (text.size() > maximumFileBytes) {
        addFinding(findings, Place{file, 1, 1},
                   "the file has " + std::to_string(text.size()) + " bytes; at most "
                       + std::to_string(maximumFileBytes) + " are allowed");
        return false;
    }
    if (text.find_first_not_of(" \t\r\n") == std::string_view::npos) {
        addFinding(findings, Place{file, 1, 1}, "the file is empty");
        return false;
    }
    return true;
}

//! @return whether the text held exactly one well-formed document.
bool runParser(int file, std::string_view text, TreeBuilder &builder, FindingList &findings)
{
    try {
        std::istringstream stream{std::string(text)};
        YAML::Parser parser(stream);
        if (!parser.HandleNextDocument(builder)) {
            addFinding(findings, Place{file, 1, 1}, "the file is empty");
            return false;
        }
        YamlNode first = std::move(builder.root());
        if (parser.HandleNextDocument(builder)) {
            addFinding(findings, builder.root().m_place, "a second document is not allowed");
        }
        builder.root() = std::move(first);
        return true;
    } catch (const ParsingStopped &) {
        return false;
    } catch (const YAML::Exception &error) {
        addFinding(findings, placeOf(file, error.mark), "YAML syntax: " + error.msg);
        return false;
    } catch (const std::exception &error) {
        addFinding(findings, Place{file, 1, 1}, std::string("cannot be read: ") + error.what());
        return false;
    }
}

} // namespace

std::optional<YamlNode> parseYaml(int file, std::string_view text, FindingList &findings)
{
    if (!checkSize(file, text, findings) || !checkText(file, text, findings)) {
        return std::nullopt;
    }
    TreeBuilder builder(file, findings);
    if (!runParser(file, text, builder, findings)) {
        return std::nullopt;
    }
    return std::move(builder.root());
}

const YamlNode *findEntry(const YamlNode &map, std::string_view key)
{
    for (const YamlNode &item : map.m_items) {
        if (map.m_kind == NodeKind::Map && item.m_key == key) {
            return &item;
        }
    }
    return nullptr;
}

YamlNode *findEntry(YamlNode &map, std::string_view key)
{
    return const_cast<YamlNode *>(findEntry(static_cast<const YamlNode &>(map), key));
}

const Place &valuePlace(const YamlNode &node)
{
    return node.m_kind == NodeKind::Null && node.m_keyPlace.m_line > 0 ? node.m_keyPlace
                                                                       : node.m_place;
}

std::string_view nodeKindName(NodeKind kind)
{
    switch (kind) {
    case NodeKind::Null:
        return "nothing";
    case NodeKind::Scalar:
        return "a single value";
    case NodeKind::List:
        return "a list";
    case NodeKind::Map:
        break;
    }
    return "a map";
}

} // namespace arbutusgrade::details
