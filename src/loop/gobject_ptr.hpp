/// A smart pointer for GObject references.
#pragma once

#include <glib-object.h>
#include <utility>

namespace bilberryseam {

/// Owns one reference to a GObject of type T.
template <typename T>
class gobject_ptr {
public:
    gobject_ptr() noexcept = default;

    /// Takes ownership of a reference that the caller owns.
    [[nodiscard]] static gobject_ptr adopt(T* object) noexcept
    {
        gobject_ptr pointer;
        pointer.m_object = object;
        return pointer;
    }

    /// Adds a reference to the object.
    [[nodiscard]] static gobject_ptr share(T* object) noexcept
    {
        return adopt(object ? static_cast<T*>(g_object_ref(object)) : nullptr);
    }

    gobject_ptr(const gobject_ptr& other) noexcept
        : gobject_ptr(share(other.m_object))
    {
    }

    gobject_ptr(gobject_ptr&& other) noexcept
        : m_object(std::exchange(other.m_object, nullptr))
    {
    }

    gobject_ptr& operator=(gobject_ptr other) noexcept
    {
        std::swap(m_object, other.m_object);
        return *this;
    }

    ~gobject_ptr()
    {
        if (m_object)
            g_object_unref(m_object);
    }

    [[nodiscard]] T* get() const noexcept { return m_object; }
    [[nodiscard]] explicit operator bool() const noexcept { return m_object; }

private:
    T* m_object = nullptr;
};
}
