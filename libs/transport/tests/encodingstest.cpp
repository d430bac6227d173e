#include <gtest/gtest.h>

#include "transport/transport.h"

namespace arbutusgrade {

// Guards against values that change on their way through the store.
TEST(Base64, ReturnsWhatWasEncoded)
{
    std::string bytes;
    for (int length = 0; length < 300; ++length) {
        EXPECT_EQ(decodeBase64(encodeBase64(bytes)), bytes) << length;
        bytes += static_cast<char>(length * 7);
    }
}

// Guards against a text that is no base64 and is read in part, and against writing beyond the
// decoded bytes when the padding is missing.
TEST(Base64, RefusesWhatIsNoBase64)
{
    const std::string unpadded = encodeBase64(std::string(3002, 'v')).substr(0, 4003);
    for (const std::string &text :
         {std::string("A"), std::string("AA"), std::string("AAA"), std::string("AAAA="),
          std::string("AA=A"), std::string("A==="), std::string("===="), std::string("AAAA!AAA"),
          std::string("AAAA\nAAA"), std::string("AA-_"), std::string("AA==AAAA"),
          std::string("AAAA\0AAA", 8), std::string("\xff\xff\xff\xff"), unpadded,
          std::string(1024, '[')}) {
        EXPECT_FALSE(decodeBase64(text).has_value()) << text.substr(0, 40);
    }
}

} // namespace arbutusgrade
