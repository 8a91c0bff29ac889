#ifndef FULMARYARD_RECOVERY_STRATEGY_HPP
#define FULMARYARD_RECOVERY_STRATEGY_HPP

#include <cstdint>

namespace fulmaryard
{

/// How a stream owner recovers from the loss of a stage.
enum class recovery_strategy : std::uint8_t
{
    rebuild_stage, ///< Replaces the stage; replays the outputs that the previous stage retained.
    restart        ///< Restarts from the prompt on a new plan; baseline for comparisons.
};

} // namespace fulmaryard

#endif
