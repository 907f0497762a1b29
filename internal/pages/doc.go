// Package pages checks that the pages in docs/ agree with the code. With -update its
// tests write the generated sections of the pages.
package pages
