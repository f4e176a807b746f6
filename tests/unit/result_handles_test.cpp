/// Which task a result belongs to, by its handle.
#include "policy/result_handles.hpp"

#include <criterion/criterion.h>
#include <string>

using namespace bilberryseam::policy;

Test(result_handles, a_handle_belongs_to_the_task_for_which_it_was_returned)
{
    result_handles handles;
    const uint64_t task = hashOfTask("r-1", 0, 2);
    cr_assert(!isOfOtherTask(handles, "10.0.0.1:80/a", task));
    addHandle(handles, "10.0.0.1:80/a", task);
    cr_assert(!isOfOtherTask(handles, "10.0.0.1:80/a", task), "a task may run again at the same target");
    for (const uint64_t other : { hashOfTask("r-2", 0, 2), hashOfTask("r-1", 1, 2), hashOfTask("r-1", 0, 1) })
        cr_assert(isOfOtherTask(handles, "10.0.0.1:80/a", other));
    cr_assert(!isOfOtherTask(handles, "10.0.0.1:80/b", task));
}

Test(result_handles, the_oldest_handles_are_forgotten)
{
    result_handles handles;
    for (size_t i = 0; i <= maxResultHandles; ++i)
        addHandle(handles, std::to_string(i), i);
    cr_assert_eq(handles.taskByHandle.size(), maxResultHandles);
    cr_assert_eq(handles.order.size(), maxResultHandles);
    cr_assert(!isOfOtherTask(handles, "0", 5));
    cr_assert(isOfOtherTask(handles, "1", 5));
}
